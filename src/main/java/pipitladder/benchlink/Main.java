package pipitladder.benchlink;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code benchlink} speaks the wire on standard input and output. */
public final class Main {

    private static final int MALFORMED = 1;
    private static final int USAGE = 2;

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar pipitladder.jar benchlink");
            System.exit(USAGE);
        }
        var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        MessageReader reader = null;
        try {
            reader = new MessageReader(System.in);
            new BenchLink(reader, new ReplyWriter(out)).run();
        } catch (JsonProcessingException e) {
            complain(reader.line(), "not valid JSON: " + e.getOriginalMessage());
        } catch (MalformedInputException e) {
            complain(reader.line(), e.getMessage());
        } catch (IOException e) {
            System.err.println("pipitladder: " + e.getMessage());
            System.exit(MALFORMED);
        }
    }

    private static void complain(int line, String what) {
        System.err.println("pipitladder: line " + line + ": " + what.replaceAll("\\s+", " "));
        System.exit(MALFORMED);
    }
}
