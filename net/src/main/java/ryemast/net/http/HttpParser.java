package ryemast.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/** Takes HTTP/1.1 messages apart, in whatever pieces they come; knows nothing of where they come from. */
public final class HttpParser {

    /** The longest start line, header lines together, or trailer; guards the memory against endless ones. */
    public static final int MAX_HEAD = 16 * 1024;
    private static final Pattern CHUNK_DIGITS = Pattern.compile("[0-9a-fA-F]{1,7}");
    private static final char DELETE = 127;
    private static final boolean[] TOKEN = tokenLetters();
    /** A buffer that has grown beyond this is not kept for the next line, in bytes. */
    private static final int USUAL_LINE = 128;
    /** What a header costs in memory beside its texts, in bytes. */
    private static final int EACH_HEADER = 128;

    /** Receives the parts of each message in order. */
    public interface Sink {
        void head(HttpHead head);

        /** An exception ends the connection, as one of the parser's own does. */
        void body(byte[] part) throws HttpException;

        void end();
    }

    private enum State { START, HEADERS, FIXED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, UNTIL_END }

    private final boolean requests;
    private final long maxBody;
    private final Sink sink;
    /** The names of the headers that are kept, in lower case; null for all. */
    private final Set<String> kept;
    private final int shortestKept;
    private ByteArrayOutputStream line = new ByteArrayOutputStream(USUAL_LINE);
    private State state = State.START;
    private String[] startLine;
    private LinkedHashMap<String, String> headers;
    private long left;
    private long bodyRead;
    private int headRead;
    private int headHeld;

    /**
     * @param requests  whether requests are read; else responses
     * @param maxBody   the most bytes a body may hold
     */
    public HttpParser(boolean requests, long maxBody, Sink sink) {
        this(requests, maxBody, null, sink);
    }

    /** {@code kept}: the names, in lower case, of the headers that are wanted; others are only checked. */
    public HttpParser(boolean requests, long maxBody, Set<String> kept, Sink sink) {
        this.requests = requests;
        this.maxBody = maxBody;
        this.kept = kept;
        shortestKept = kept == null ? 0 : kept.stream().mapToInt(String::length).min().orElse(0);
        this.sink = sink;
    }

    /** What is held of a head that is not handed over yet, in bytes. */
    int held() {
        return headHeld + line.size();
    }

    /** Lets go of what is held, where nothing more is to be fed. */
    void clear() {
        line = new ByteArrayOutputStream(0);
        headers = new LinkedHashMap<>();
        headHeld = 0;
    }

    /** Consumes all bytes; after an exception the connection holds nothing that could be understood. */
    public void feed(ByteBuffer in) throws HttpException {
        while (in.hasRemaining()) {
            switch (state) {
                case FIXED, CHUNK -> takeBody(in, (int) Math.min(left, in.remaining()));
                case UNTIL_END -> takeBody(in, in.remaining());
                default -> takeLine(in);
            }
        }
    }

    /** Whether a message has begun and is not whole yet. */
    public boolean isInside() {
        return state != State.START || line.size() > 0;
    }

    /** The connection's end: it completes a body that lasts until then; a message cut short is an error. */
    public void endOfInput() throws HttpException {
        if (state == State.UNTIL_END) {
            finish();
        } else if (isInside()) {
            throw new HttpException(400, "the connection ended inside a message");
        }
    }

    private void takeBody(ByteBuffer in, int count) throws HttpException {
        var part = new byte[count];
        in.get(part);
        bodyRead += count;
        checkBody(bodyRead);
        sink.body(part);
        if (state == State.UNTIL_END) {
            return;
        }
        left -= count;
        if (left == 0 && state == State.FIXED) {
            finish();
        } else if (left == 0) {
            state = State.CHUNK_END;
        }
    }

    private void checkBody(long length) throws HttpException {
        if (length > maxBody) {
            throw new HttpException(413, "a body of over " + maxBody + " bytes");
        }
    }

    private void takeLine(ByteBuffer in) throws HttpException {
        while (in.hasRemaining()) {
            byte next = in.get();
            if (next == '\n') {
                var text = line.toString(StandardCharsets.ISO_8859_1);
                if (text.length() > USUAL_LINE) {
                    line = new ByteArrayOutputStream(USUAL_LINE);
                } else {
                    line.reset();
                }
                take(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
                return;
            }
            if (++headRead > MAX_HEAD) {
                throw new HttpException(431, "a head of over " + MAX_HEAD + " bytes");
            }
            line.write(next);
        }
    }

    private void take(String text) throws HttpException {
        switch (state) {
            case START -> {
                // An empty line ahead of a message is passed over, as RFC 9112 asks.
                if (!text.isEmpty()) {
                    startLine = startLine(text);
                    headHeld = text.length();
                    headers = new LinkedHashMap<>();
                    state = State.HEADERS;
                }
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    beginBody();
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                left = chunkSize(text);
                headRead = 0;
                checkBody(bodyRead + left);
                state = left == 0 ? State.TRAILER : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "a chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (text.isEmpty()) {
                    finish();
                }
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private String[] startLine(String text) throws HttpException {
        var parts = text.split(" ", 3);
        var version = parts.length < 2 || requests && parts.length < 3 ? "" : parts[requests ? 2 : 0];
        if (!version.startsWith("HTTP/") || !isMethod(parts[0].replace("/", ""))) {
            throw new HttpException(400, "a malformed start line");
        }
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new HttpException(505, "an unknown version of HTTP");
        }
        boolean valid = requests ? isTarget(parts[1]) : parts[1].matches("[1-5][0-9][0-9]");
        if (!valid) {
            throw new HttpException(400, "a malformed start line");
        }
        return new String[] {parts[0], parts[1], parts.length > 2 ? parts[2] : ""};
    }

    private static boolean isTarget(String text) {
        if (!text.startsWith("/")) {
            return text.equals("*");
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= DELETE) {
                return false;
            }
        }
        return true;
    }

    private static boolean isMethod(String text) {
        return isToken(text, text.length());
    }

    /**
     * Whether the text begins with a token of this length, as RFC 9110 has it. A head has thousands of lines
     * at worst, so that a table answers.
     */
    private static boolean isToken(String text, int length) {
        for (int i = 0; i < length; i++) {
            if (text.charAt(i) > DELETE || !TOKEN[text.charAt(i)]) {
                return false;
            }
        }
        return length > 0;
    }

    private static boolean[] tokenLetters() {
        var token = new boolean[DELETE + 1];
        for (char letter = ' ' + 1; letter < DELETE; letter++) {
            token[letter] = "\"(),/:;<=>?@[\\]{}".indexOf(letter) < 0;
        }
        return token;
    }

    private static boolean hasControlLetter(String text, int from) {
        for (int i = from; i < text.length(); i++) {
            char letter = text.charAt(i);
            if (letter < ' ' && letter != '\t' || letter == DELETE) {
                return true;
            }
        }
        return false;
    }

    private void header(String text) throws HttpException {
        int colon = text.indexOf(':');
        if (colon < 0 || !isToken(text, colon)) {
            throw new HttpException(400, "a malformed header line");
        }
        if (hasControlLetter(text, colon + 1)) {
            throw new HttpException(400, "a control character in header " + text.substring(0, colon));
        }
        if (kept != null && colon < shortestKept) {
            return;
        }
        var name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        if (kept != null && !kept.contains(name)) {
            return;
        }
        var value = trimmed(text, colon + 1);
        headHeld += EACH_HEADER + text.length();
        var before = headers.putIfAbsent(name, value);
        if (before != null && name.equals("content-length") && !before.equals(value)) {
            throw new HttpException(400, "two values of header content-length");
        }
        if (before != null && !name.equals("content-length")) {
            headers.put(name, before + HttpHead.NEXT_VALUE + value);
        }
    }

    /**
     * Guards values against being changed: spaces and tabs around one, and no more, are taken off. Not by a
     * regular expression: one that looks for the end tries anew at each of thousands of spaces inside.
     */
    private static String trimmed(String text, int from) {
        int start = from;
        int end = text.length();
        while (start < end && isSpace(text.charAt(start))) {
            start++;
        }
        while (end > start && isSpace(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }

    private static boolean isSpace(char c) {
        return c == ' ' || c == '\t';
    }

    private void beginBody() throws HttpException {
        var head = new HttpHead(startLine[0], startLine[1], startLine[2], headers);
        var length = headers.get("content-length");
        var coding = headers.get("transfer-encoding");
        bodyRead = 0;
        headRead = 0;
        if (coding != null) {
            // Both at once is how requests are smuggled past a front that reads the other one.
            if (length != null || !coding.equalsIgnoreCase("chunked")) {
                throw new HttpException(length != null ? 400 : 501, "header transfer-encoding not usable");
            }
            state = State.CHUNK_SIZE;
        } else if (length != null) {
            if (!length.matches("[0-9]{1,15}")) {
                throw new HttpException(400, "header content-length is not a number");
            }
            left = Long.parseLong(length);
            state = State.FIXED;
        } else {
            left = 0;
            state = requests ? State.FIXED : State.UNTIL_END;
        }
        if (!requests && (head.status() < 200 || head.status() == 204 || head.status() == 304)) {
            left = 0;
            state = State.FIXED;
        }
        checkBody(state == State.FIXED ? left : 0);
        sink.head(head);
        if (state == State.FIXED && left == 0) {
            finish();
        }
    }

    private static long chunkSize(String text) throws HttpException {
        int end = text.indexOf(';');
        var digits = (end < 0 ? text : text.substring(0, end)).strip();
        if (!CHUNK_DIGITS.matcher(digits).matches()) {
            throw new HttpException(400, "a malformed chunk size");
        }
        return Long.parseLong(digits, 16);
    }

    private void finish() {
        state = State.START;
        headRead = 0;
        headHeld = 0;
        sink.end();
    }
}
