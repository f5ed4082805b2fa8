package ryemast.lab.health;

import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Carries values between two versions of one interface's nested types, which different class loaders hold
 * under the same names: records component by component, constants by name, lists element by element; all else
 * passes as it is. Both versions must have the same records with the same components, which is checked at the
 * start. Immutable, for any thread.
 */
final class Twins {

    /** How to read a record here, and how to make its twin there. */
    private record Copier(Method[] read, Constructor<?> make) {
    }

    private final Map<Class<?>, Class<?>> twins = new HashMap<>();
    private final Map<Class<?>, Copier> copiers = new HashMap<>();

    Twins(Class<?> type, ClassLoader theirs) throws ReflectiveOperationException {
        add(type, theirs);
        for (var nested : type.getDeclaredClasses()) {
            add(nested, theirs);
        }
        for (var each : new ArrayList<>(twins.entrySet())) {
            if (each.getKey().isRecord()) {
                copiers.put(each.getKey(), copier(each.getKey(), each.getValue()));
            }
        }
    }

    private void add(Class<?> here, ClassLoader theirs) throws ClassNotFoundException {
        var there = theirs.loadClass(here.getName());
        twins.put(here, there);
        twins.put(there, here);
    }

    private Copier copier(Class<?> from, Class<?> to) throws ReflectiveOperationException {
        var read = from.getRecordComponents();
        var made = to.getRecordComponents();
        if (!words(read).equals(words(made))) {
            throw new IllegalArgumentException(from.getName() + " differs: here " + words(read) + ", there "
                    + words(made));
        }
        var readers = new Method[read.length];
        var types = new Class<?>[read.length];
        for (int i = 0; i < read.length; i++) {
            readers[i] = read[i].getAccessor();
            types[i] = made[i].getType();
        }
        return new Copier(readers, to.getConstructor(types));
    }

    private static List<String> words(RecordComponent[] components) {
        var words = new ArrayList<String>();
        for (var each : components) {
            words.add(each.getGenericType().getTypeName() + " " + each.getName());
        }
        return words;
    }

    /** The other version's type of that name. */
    Class<?> of(Class<?> type) {
        return twins.get(type);
    }

    /** The same value in the other version, whichever that is. */
    Object twin(Object value) {
        if (value instanceof List<?> list) {
            var copy = new ArrayList<Object>(list.size());
            list.forEach(each -> copy.add(twin(each)));
            return copy;
        }
        if (value instanceof Enum<?> constant && twins.containsKey(constant.getDeclaringClass())) {
            return named(twins.get(constant.getDeclaringClass()), constant.name());
        }
        var copier = value == null ? null : copiers.get(value.getClass());
        if (copier == null) {
            return value;
        }
        try {
            var parts = new Object[copier.read().length];
            for (int i = 0; i < parts.length; i++) {
                parts[i] = twin(copier.read()[i].invoke(value));
            }
            return copier.make().newInstance(parts);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(value + " has no twin", e);
        }
    }

    /** The other version's constant. */
    private static Object named(Class<?> type, String name) {
        for (var each : type.getEnumConstants()) {
            if (((Enum<?>) each).name().equals(name)) {
                return each;
            }
        }
        throw new IllegalStateException("the other version has no " + type.getSimpleName() + " " + name);
    }
}
