package ryemast.timetable.calendar;

/** An expression that can't be used: the field at fault, what it holds, and what would be right. */
public final class FaultyExpressionException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int field;
    private final String text;
    private final String expected;

    /**
     * @param field  from 1; 0 if it is no single field's fault
     * @param label  what the field holds; empty for none
     * @param text   the field's text, or that of the whole expression
     */
    FaultyExpressionException(int field, String label, String text, String what, String expected) {
        super((field > 0 ? "field " + field + " (" + label + ") '" : "'") + text + "': " + what
                + "; expected " + expected);
        this.field = field;
        this.text = text;
        this.expected = expected;
    }

    /** The place of the field in the expression, from 1; 0 if it is no single field's fault. */
    public int field() {
        return field;
    }

    /** What stands there. */
    public String text() {
        return text;
    }

    /** What would be right. */
    public String expected() {
        return expected;
    }
}
