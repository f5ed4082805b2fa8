package ryemast.toml;

import java.util.Collection;
import java.util.Locale;
import org.apache.commons.text.similarity.JaroWinklerSimilarity;

/**
 * The known word that a mistyped one most likely stands for, by the Jaro-Winkler similarity (Winkler 1990):
 * it forgives swapped letters and weighs the beginning of a word, where people rarely err.
 */
public final class Nearest {

    /** Below this, words such as "listen" and "silence_ms" would be taken for one another. */
    private static final double LEAST_SIMILARITY = 0.84;

    private Nearest() {
    }

    /** The nearest of the known words; null if none is near enough to be worth a suggestion. */
    public static String to(String word, Collection<String> known) {
        var similarity = new JaroWinklerSimilarity();
        String nearest = null;
        double best = LEAST_SIMILARITY;
        for (var each : known) {
            double found = similarity.apply(plain(word), plain(each));
            if (found >= best && (nearest == null || found > best)) {
                best = found;
                nearest = each;
            }
        }
        return nearest;
    }

    private static String plain(String word) {
        return word.toLowerCase(Locale.ROOT).replace('-', '_');
    }
}
