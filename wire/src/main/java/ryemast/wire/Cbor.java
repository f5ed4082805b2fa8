package ryemast.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * {@link Fields} as CBOR (RFC 8949) and back, on Jackson's tokens. Guarantees that whatever the bytes are,
 * reading ends with fields or a {@link WireException}, and takes memory in proportion to the bytes: nesting,
 * entries and texts are bounded, and lengths that bytes do not back are not believed (RFC 8949, section 10).
 * Numbers with a fraction, tags and names that come twice are none of the protocol's.
 */
public final class Cbor {

    private static final int DEEPEST = 8;
    private static final int MOST_VALUES = 50_000;
    private static final CBORFactory FACTORY = CBORFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST + 1)
                    .maxNameLength(64).maxStringLength(1 << 20).maxNumberLength(40).build())
            .disable(com.fasterxml.jackson.core.JsonFactory.Feature.CANONICALIZE_FIELD_NAMES).build();

    private Cbor() {
    }

    public static byte[] write(Fields fields) {
        var bytes = new ByteArrayOutputStream(128);
        write(fields, bytes);
        return bytes.toByteArray();
    }

    static void write(Fields fields, ByteArrayOutputStream to) {
        try (CBORGenerator out = FACTORY.createGenerator(to)) {
            fields(out, fields);
        } catch (IOException e) {
            throw new UncheckedIOException("memory can't be written", e);
        }
    }

    private static void fields(JsonGenerator out, Fields fields) throws IOException {
        out.writeStartObject();
        for (var each : fields.values().entrySet()) {
            out.writeFieldName(each.getKey());
            value(out, each.getValue());
        }
        out.writeEndObject();
    }

    private static void value(JsonGenerator out, Object value) throws IOException {
        if (value instanceof String text) {
            out.writeString(text);
        } else if (value instanceof Long number) {
            out.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof byte[] bytes) {
            out.writeBinary(bytes);
        } else if (value instanceof Fields fields) {
            fields(out, fields);
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (var each : list) {
                value(out, each instanceof Integer number ? Long.valueOf(number) : each);
            }
            out.writeEndArray();
        } else {
            throw new IllegalArgumentException("no such value can be written: " + value.getClass());
        }
    }

    public static Fields read(byte[] bytes) throws WireException {
        return read(bytes, 0, bytes.length);
    }

    static Fields read(byte[] bytes, int from, int length) throws WireException {
        try (var in = FACTORY.createParser(bytes, from, length)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new WireException("a frame must hold a CBOR map");
            }
            var read = fields(in, new int[1], 1);
            if (in.nextToken() != null) {
                throw new WireException("a frame must hold one CBOR map, and nothing behind it");
            }
            return read;
        } catch (IOException | RuntimeException e) {
            throw new WireException("no CBOR: " + firstLine(e));
        }
    }

    private static String firstLine(Exception e) {
        var text = String.valueOf(e.getMessage());
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }

    private static Fields fields(JsonParser in, int[] count, int depth) throws IOException, WireException {
        var values = new LinkedHashMap<String, Object>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            if (in.currentToken() != JsonToken.FIELD_NAME) {
                throw new WireException("the frame ends within a map");
            }
            var name = in.currentName();
            in.nextToken();
            var value = value(in, count, depth);
            if (value != null && values.put(name, value) != null) {
                throw new WireException(name + ": comes twice");
            }
        }
        return new Fields("", values);
    }

    private static Object value(JsonParser in, int[] count, int depth) throws IOException, WireException {
        if (++count[0] > MOST_VALUES || depth > DEEPEST) {
            throw new WireException("a frame must hold " + MOST_VALUES + " values at most, " + DEEPEST
                    + " deep");
        }
        var token = in.currentToken();
        if (token == null) {
            throw new WireException("the frame ends before its values do");
        }
        switch (token) {
            case VALUE_STRING:
                return in.getText();
            case VALUE_NUMBER_INT:
                if (in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
                    throw new WireException("a number is beyond 63 bits");
                }
                return in.getLongValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            case VALUE_EMBEDDED_OBJECT:
                return in.getBinaryValue();
            case START_OBJECT:
                return fields(in, count, depth + 1);
            case START_ARRAY:
                var list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    var each = value(in, count, depth + 1);
                    if (each == null) {
                        throw new WireException("a list must not hold null");
                    }
                    list.add(each);
                }
                return list;
            default:
                throw new WireException("no such value is known here: " + token);
        }
    }

    /** For tests and tools: the names and values, as they came. */
    static Map<String, Object> values(Fields fields) {
        return fields.values();
    }
}
