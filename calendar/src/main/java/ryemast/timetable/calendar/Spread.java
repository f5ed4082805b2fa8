package ryemast.timetable.calendar;

import java.util.ArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the library does not know: H, which becomes a number by the entry's name (as in Jenkins), and
 * {@code a~b}, a draw for each fire (as in OpenBSD's cron, which draws once a start). H is replaced by what
 * it stands for. A draw is replaced by its first value, the nominal one, and how far it may reach beyond that
 * is kept: so nominal times do not depend on draws, and moments do.
 *
 * @param plain   the field as the library reads it
 * @param widths  for each value of the field how far its draw reaches, in the field's unit; null for no draws
 */
record Spread(String plain, byte[] widths) {

    private static final Pattern HASHED = Pattern.compile("H(?:\\((\\w+)-(\\w+)\\))?(?:/([0-9]{1,4}))?");
    private static final Pattern DRAWN = Pattern.compile("(?:(\\w+)~(\\w+)|~)(?:/([0-9]{1,4}))?");

    /** @param entry  the name by which H is spread */
    static Spread of(Field field, int place, String text, String entry) throws FaultyExpressionException {
        if (text.indexOf('H') < 0 && text.indexOf('~') < 0) {
            return new Spread(text, null);
        }
        var parts = new ArrayList<String>();
        var reading = new Reading(field, place, text, entry);
        for (var part : text.split(",", -1)) {
            parts.add(part.startsWith("H") ? reading.hashed(part, parts.size())
                    : part.indexOf('~') >= 0 ? reading.drawn(part) : part);
        }
        return new Spread(String.join(",", parts), reading.widths);
    }

    /** Goes through one field. */
    private static final class Reading {
        private final Field field;
        private final int place;
        private final String text;
        private final String entry;
        private byte[] widths;

        Reading(Field field, int place, String text, String entry) {
            this.field = field;
            this.place = place;
            this.text = text;
            this.entry = entry;
        }

        /** Two in one list are spread independently. */
        String hashed(String part, int index) throws FaultyExpressionException {
            var form = HASHED.matcher(part);
            if (!form.matches()) {
                throw fault("'" + part + "' is no form of H", "H, H(" + field.least + "-" + field.mostHashed()
                        + "), H/5 or H(" + field.least + "-" + field.mostHashed() + ")/5");
            }
            int low = end(form, 1, field.least);
            int high = end(form, 2, field.mostHashed());
            int step = step(form, high - low + 1);
            int first = low + Draws.hashed(step, field.label + " " + index, entry);
            return form.group(3) == null || first + step > high ? Integer.toString(first)
                    : first + "-" + high + "/" + step;
        }

        String drawn(String part) throws FaultyExpressionException {
            if (!field.isTime()) {
                throw fault("days and months are not drawn, as a drawn day might be a day off",
                        "a draw in the second, minute or hour, or H here");
            }
            var form = DRAWN.matcher(part);
            if (!form.matches()) {
                throw fault("'" + part + "' is no form of a draw", "~, " + field.least + "~" + field.most
                        + ", ~/5 or " + field.least + "~" + field.most + "/5");
            }
            int low = end(form, 1, field.least);
            int high = end(form, 2, field.most);
            int step = step(form, high - low + 1);
            widths = widths == null ? new byte[field.span()] : widths;
            var firsts = new ArrayList<String>();
            for (int first = low; first <= high; first += step) {
                widths[first - field.least] = (byte) (Math.min(first + step - 1, high) - first);
                firsts.add(Integer.toString(first));
            }
            return String.join(",", firsts);
        }

        private int end(Matcher form, int group, int otherwise) throws FaultyExpressionException {
            if (form.group(group) == null) {
                return otherwise;
            }
            int found = field.number(form.group(group));
            if (found < 0 || found > field.most) {
                throw fault("'" + form.group(group) + "' is no " + field.label,
                        field.least + " to " + field.most);
            } else if (group == 2 && found < end(form, 1, field.least)) {
                throw fault("its range ends before it begins", "the lower end first");
            }
            return found;
        }

        private int step(Matcher form, int length) throws FaultyExpressionException {
            int step = form.group(3) == null ? length : Integer.parseInt(form.group(3));
            if (step < 1 || step > length) {
                throw fault("a step of " + step + " in a range of " + length, "a step of 1 to " + length);
            }
            return step;
        }

        private FaultyExpressionException fault(String what, String expected) {
            return new FaultyExpressionException(place, field.label, text, what, expected);
        }
    }

    /** Whether a draw reaches over a value that stands for a fire of its own. */
    boolean overlaps(Field field, long values) {
        for (int i = 0; widths != null && i < widths.length; i++) {
            long reached = ((1L << widths[i]) - 1) << (field.least + i + 1);
            if ((values & reached) != 0) {
                return true;
            }
        }
        return false;
    }
}
