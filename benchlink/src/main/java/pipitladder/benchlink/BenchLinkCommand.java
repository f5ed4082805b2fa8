package pipitladder.benchlink;

import com.google.gson.stream.MalformedJsonException;
import java.io.EOFException;
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
        var out = new FileOutputStream(FileDescriptor.out);
        var reader = new MessageReader(System.in);
        try {
            new BenchLink(reader, new ReplyWriter(out)).run();
            return 0;
        } catch (MalformedJsonException | EOFException | IllegalStateException e) {
            return complain(reader.line(), "not valid JSON: " + e.getMessage());
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
