package ryemast.lab.scenario;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import ryemast.toml.FaultyFileException;
import ryemast.toml.Nearest;

/**
 * Files of one kind that come with the program, found by their names, or any other by its path.
 *
 * @param folder  from the project's folder
 * @param noun    what one of them is called
 */
public record Shelf(Path folder, String noun) {

    static final String ENDING = ".toml";

    /** What a name or path means; a fault says what would be right. */
    public Path find(String nameOrPath) throws FaultyFileException {
        boolean isPath = nameOrPath.endsWith(ENDING) || nameOrPath.contains("/") || nameOrPath.contains("\\");
        if (isPath) {
            try {
                return Path.of(nameOrPath);
            } catch (InvalidPathException e) {
                throw new FaultyFileException(nameOrPath + ": no file can have such a name");
            }
        }
        var names = names();
        if (names.contains(nameOrPath)) {
            return place().resolve(nameOrPath + ENDING);
        }
        var near = Nearest.to(nameOrPath, names);
        throw new FaultyFileException("there is no " + noun + " \"" + nameOrPath + "\""
                + (near == null ? "" : " (" + near + " perhaps)") + "; expected a file's path or "
                + (names.isEmpty() ? "a name, but none is in " + place()
                        : "one of " + String.join(", ", names)));
    }

    /** The names of those that come with the program, in order. */
    public List<String> names() {
        if (!Files.isDirectory(place())) {
            return List.of();
        }
        try (var files = Files.list(place())) {
            return files.map(each -> each.getFileName().toString()).filter(each -> each.endsWith(ENDING))
                    .map(Shelf::plain).sorted().toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** A file's name without its ending. */
    public static String plain(String fileName) {
        return fileName.endsWith(ENDING) ? fileName.substring(0, fileName.length() - ENDING.length())
                : fileName;
    }

    private Path place() {
        return home().resolve(folder);
    }

    /** The project's folder: {@code ryemast.home}, or the nearest above the program or the current folder. */
    private Path home() {
        var said = System.getProperty("ryemast.home");
        if (said != null) {
            return Path.of(said);
        }
        var here = Path.of("").toAbsolutePath();
        try {
            var program = Path.of(Shelf.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            for (var start : List.of(program, here)) {
                for (var each = start; each != null; each = each.getParent()) {
                    if (Files.isDirectory(each.resolve(folder))) {
                        return each;
                    }
                }
            }
        } catch (URISyntaxException e) {
            return here;
        }
        return here;
    }
}
