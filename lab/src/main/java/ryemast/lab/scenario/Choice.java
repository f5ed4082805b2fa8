package ryemast.lab.scenario;

import java.util.List;
import java.util.Locale;
import ryemast.lab.world.Chance;

/** One or more words of a scenario file, of which each run draws one; a {@link Range} of words. */
record Choice(String key, List<String> words) {

    String draw(Chance chance) {
        return draw(chance, 0);
    }

    String draw(Chance chance, long number) {
        if (words.size() == 1) {
            return words.get(0);
        }
        return words.get(chance.stream("scenario " + key, number).nextInt(words.size()));
    }

    <E extends Enum<E>> E draw(Class<E> type, Chance chance) {
        return constant(type, draw(chance));
    }

    /** An enum's constant is written in a file in lower case, with dashes. */
    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static <E extends Enum<E>> E constant(Class<E> type, String word) {
        return Enum.valueOf(type, word.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    static <E extends Enum<E>> List<String> words(Class<E> type) {
        return List.of(type.getEnumConstants()).stream().map(Choice::word).toList();
    }
}
