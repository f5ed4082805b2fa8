package ryemast;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.tools.ToolProvider;

/**
 * Loads the classes of this module and its tests with a fault planted into a copy of one source file, so
 * that a test can show that it detects the fault (mutation analysis: DeMillo, Lipton and Sayward, "Hints on
 * Test Data Selection", 1978).
 */
public final class PlantedFaultLoader extends ClassLoader {

    private static final Path MODULE = Path.of(URI.create(PlantedFaultLoader.class.getProtectionDomain()
            .getCodeSource().getLocation().toString())).getParent().getParent();
    private static final Path CLASSES = MODULE.resolve("target/classes");

    private final Path folder;
    private final List<Path> roots;

    private PlantedFaultLoader(Path folder) {
        super(PlantedFaultLoader.class.getClassLoader());
        this.folder = folder;
        roots = List.of(folder, CLASSES, MODULE.resolve("target/test-classes"));
    }

    /**
     * {@code file} is the path of the class without extension; {@code from} must occur exactly once in its
     * source.
     */
    public static PlantedFaultLoader plant(String file, String from, String to, Path folder)
            throws IOException {
        var source = Files.readString(MODULE.resolve("src/main/java").resolve(file + ".java"));
        assertTrue(source.contains(from), "not found in the source: " + from);
        assertEquals(source.indexOf(from), source.lastIndexOf(from), "must occur once in the source");
        var mutant = folder.resolve(file + ".java");
        Files.createDirectories(mutant.getParent());
        Files.writeString(mutant, source.replace(from, to));
        var diagnostics = new StringWriter();
        var compiler = ToolProvider.getSystemJavaCompiler();
        try (var files = compiler.getStandardFileManager(null, null, null)) {
            var options = List.of("-proc:none", "-cp", CLASSES.toString(), "-d", folder.toString());
            assertTrue(compiler.getTask(diagnostics, files, null, options, null,
                    files.getJavaFileObjects(mutant)).call(), diagnostics.toString());
        }
        return new PlantedFaultLoader(folder);
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        if (!name.startsWith("ryemast.") && !name.startsWith("pipitladder.")) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            var known = findLoadedClass(name);
            return known != null ? known : findClass(name);
        }
    }

    @Override
    protected Class<?> findClass(String name) throws ClassNotFoundException {
        try {
            for (var root : roots) {
                var file = root.resolve(name.replace('.', '/') + ".class");
                if (Files.exists(file)) {
                    var bytes = Files.readAllBytes(file);
                    return defineClass(name, bytes, 0, bytes.length);
                }
            }
        } catch (IOException e) {
            throw new ClassNotFoundException(name + " can't be read below " + folder, e);
        }
        throw new ClassNotFoundException(name);
    }
}
