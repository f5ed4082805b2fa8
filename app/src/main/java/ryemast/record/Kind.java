package ryemast.record;

/** What a record is; its place here is its number in a file, so that none may be moved or taken away. */
enum Kind {
    HEADER, TAKEN, TURNED_AWAY, SENT, ACCEPTED, STARTED, PROGRESSED, ENDED, ANSWERED, LISTED, DROPPED,
            STOPPED;

    private static final Kind[] ALL = values();

    /** Null for one that a later program writes. */
    static Kind of(int number) {
        return number >= 0 && number < ALL.length ? ALL[number] : null;
    }
}
