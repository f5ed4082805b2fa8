package ryemast.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import ryemast.net.Bytes;

class HttpParserTest {

    private static final String REQUESTS = "POST /api/k?q=1 HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 5\r\n\r\n"
            + "hello\r\nGET /_health HTTP/1.1\r\nHost:  h \r\nAccept: a\r\nAccept: b\r\n\r\n"
            + "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            + "2;e=1\r\nde\r\n0\r\nT: 1\r\n\r\n";
    private static final String RESPONSES = "HTTP/1.1 202 Accepted\nContent-Length: 0\n\n"
            + "HTTP/1.1 204\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nuntil the end";

    /** Writes down what it is told, whatever the pieces. */
    private static final class Script implements HttpParser.Sink {
        private final StringBuilder text = new StringBuilder();

        @Override
        public void head(HttpHead head) {
            text.append(head.first()).append(' ').append(head.second()).append(head.headers()).append('<');
        }

        @Override
        public void body(byte[] part) {
            text.append(new String(part, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void end() {
            text.append('>');
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static int status(boolean requests, String text) {
        var parser = new HttpParser(requests, 10, new Script());
        return assertThrows(HttpException.class, () -> parser.feed(ByteBuffer.wrap(bytes(text)))).status();
    }

    /** What a parser is told of a text that comes in pieces and then ends. */
    private static String told(boolean requests, int maxBody, String text, long seed) throws HttpException {
        var script = new Script();
        var parser = new HttpParser(requests, maxBody, script);
        for (var piece : Bytes.cut(bytes(text), seed)) {
            parser.feed(piece);
        }
        parser.endOfInput();
        return script.text.toString();
    }

    @Property(seed = "1", tries = 500)
    void requestsAreUnderstoodHoweverTheyAreCut(@ForAll long seed) throws HttpException {
        assertEquals("POST /api/k?q=1{x-txn=a, content-length=5}<hello>"
                + "GET /_health{host=h, accept=a\nb}<>POST /x{transfer-encoding=chunked}<abcde>",
                told(true, 10, REQUESTS, seed));
    }

    @Property(seed = "2", tries = 500)
    void responsesAreUnderstoodHoweverTheyAreCut(@ForAll long seed) throws HttpException {
        assertEquals("HTTP/1.1 202{content-length=0}<>HTTP/1.1 204{}<>HTTP/1.1 100{}<>"
                + "HTTP/1.0 200{}<until the end>", told(false, 99, RESPONSES, seed));
    }

    @Property(seed = "3", tries = 2000)
    void garbageIsUnderstoodOrNamedAndNothingElse(@ForAll long seed, @ForAll boolean requests) {
        var parser = new HttpParser(requests, 10, new Script());
        try {
            parser.feed(ByteBuffer.wrap(Bytes.garbage(bytes(requests ? REQUESTS : RESPONSES), seed)));
            parser.endOfInput();
        } catch (HttpException e) {
            assertTrue(e.status() >= 400 && e.status() < 600 && !e.getMessage().isEmpty());
        }
    }

    @Test
    void whatBreaksTheRulesIsNamed() {
        assertEquals(400, status(true, "nonsense\r\n"));
        assertEquals(400, status(true, "GET relative HTTP/1.1\r\n"));
        assertEquals(505, status(true, "GET / HTTP/2.0\r\n"));
        assertEquals(400, status(false, "HTTP/1.1 abc\r\n"));
        assertEquals(400, status(true, "GET / HTTP/1.1\r\nno colon\r\n"));
        assertEquals(400, status(true, "GET / HTTP/1.1\r\nA b: c\r\n"));
        assertEquals(400, status(true, "GET / HTTP/1.1\r\nA: b\rc\r\n"));
        assertEquals(400, status(true, "GET / HTTP/1.1\r\nA:\u000bb\r\n"));
        assertEquals(400, status(true, "GET /\u00e9 HTTP/1.1\r\n"));
        assertEquals(400, status(true, "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"));
        assertEquals(400, status(true, "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n"));
        assertEquals(400, status(true,
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"));
        assertEquals(501, status(true, "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"));
        assertEquals(400, status(true, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n"));
        assertEquals(413, status(true, "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"));
        assertEquals(413, status(true, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n"));
        assertEquals(431, status(true, "GET / HTTP/1.1\r\nA: " + "a".repeat(HttpParser.MAX_HEAD)));
    }
}
