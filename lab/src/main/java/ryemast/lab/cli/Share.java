package ryemast.lab.cli;

import java.util.Locale;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** A part of a whole, as people write it: {@code 0.5%} or {@code 0.005}. */
record Share(double part) {

    private static final double PERCENT = 100;

    static Share parse(String text) {
        var stripped = text.strip();
        boolean percent = stripped.endsWith("%");
        double number;
        try {
            number = Double.parseDouble(percent ? stripped.substring(0, stripped.length() - 1) : stripped);
        } catch (NumberFormatException e) {
            throw new TypeConversionException("'" + text
                    + "' is no share; expected one such as 0.5% or 0.005");
        }
        double part = percent ? number / PERCENT : number;
        if (!(part >= 0 && part <= 1)) {
            throw new TypeConversionException("'" + text + "' is no share; it must lie between 0% and 100%");
        }
        return new Share(part);
    }

    /** As people write it, with no more digits than it needs. */
    String percent() {
        var text = String.format(Locale.ROOT, "%.4f", part * PERCENT);
        return text.replaceAll("0+$", "").replaceAll("\\.$", "") + "%";
    }

    static final class Converter implements ITypeConverter<Share> {
        @Override
        public Share convert(String text) {
            return parse(text);
        }
    }
}
