package ryemast.lab.health;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import pipitladder.Brain;
import pipitladder.Dispatcher;
import pipitladder.Dispatcher.Settings;
import ryemast.lab.model.Policy;

/**
 * The decision module of another version of the program, out of its jar, in a class loader that sees nothing
 * of this program: the real code, in this process, in the model's time. What passes between the two is
 * carried over by {@link Twins}.
 */
public final class JarPolicy {

    private JarPolicy() {
    }

    /** Throws what is wrong with the jar, in words. */
    public static Policy of(Path jar) {
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException(jar
                    + ": there is no such file; expected the jar of a version of "
                    + "the program");
        }
        try {
            return of(jar.toUri().toURL(), jar);
        } catch (IOException | ReflectiveOperationException | LinkageError | IllegalArgumentException e) {
            throw new IllegalArgumentException(jar + ": holds no decision module that can be used here: " + e,
                    e);
        }
    }

    static Policy of(URL code, Path jar) throws ReflectiveOperationException {
        // Left open: runs load classes from it as they need them.
        var theirs = new URLClassLoader(new URL[] {code}, ClassLoader.getPlatformClassLoader());
        var twins = new Twins(Dispatcher.class, theirs);
        var made = theirs.loadClass(Brain.class.getName()).getConstructor(twins.of(Settings.class),
                long.class);
        var handle = twins.of(Dispatcher.class).getMethod("handle", long.class,
                twins.of(Dispatcher.Event.class),
                Consumer.class);
        return new Policy("jar:" + jar, "the decision module in " + jar.getFileName(),
                (settings, seed, truth) -> new Module(twins, made, handle, settings, seed));
    }

    private static final class Module implements Dispatcher {
        private final Twins twins;
        private final Method handle;
        private final Object module;

        Module(Twins twins, Constructor<?> maker, Method handle, Settings settings, long seed) {
            this.twins = twins;
            this.handle = handle;
            module = call(() -> maker.newInstance(twins.twin(settings), seed));
        }

        @Override
        public void handle(long now, Event event, Consumer<? super Action> out) {
            Consumer<Object> theirs = action -> out.accept((Action) twins.twin(action));
            call(() -> handle.invoke(module, now, twins.twin(event), theirs));
        }

        private interface Call {
            Object make() throws ReflectiveOperationException;
        }

        private static Object call(Call call) {
            try {
                return call.make();
            } catch (InvocationTargetException e) {
                throw e.getCause() instanceof RuntimeException cause ? cause
                        : new IllegalStateException("the other version's module failed", e.getCause());
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("the other version's module can't be called", e);
            }
        }
    }
}
