package pipitladder.benchlink;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The subcommand {@code benchlink}: speaks the wire on standard input and output. */
public final class BenchLinkCommand {

    private static final int MALFORMED = 1;

    private BenchLinkCommand() {
    }

    /** Answers until the input ends; returns the exit code. */
    public static int run() {
        var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        MessageReader reader = null;
        try {
            reader = new MessageReader(System.in);
            new BenchLink(reader, new ReplyWriter(out)).run();
            return 0;
        } catch (JsonProcessingException e) {
            return complain(reader.line(), "not valid JSON: " + e.getOriginalMessage());
        } catch (MalformedInputException e) {
            return complain(reader.line(), e.getMessage());
        } catch (IOException e) {
            System.err.println("ryemast: " + e.getMessage());
            return MALFORMED;
        }
    }

    private static int complain(int line, String what) {
        System.err.println("ryemast: line " + line + ": " + what.replaceAll("\\s+", " "));
        return MALFORMED;
    }
}
