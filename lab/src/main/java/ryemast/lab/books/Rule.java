package ryemast.lab.books;

/** What a dispatcher must keep to, as the platform's rules and figures have it. */
public enum Rule {
    ONE_ANSWER("answer", "every request taken is answered once, in time, with what a box made for it"),
    NO_EFFECT_TWICE("effect",
            "nothing that must not run twice is sent twice or refused once it may have run"),
    DRAIN("drain", "nothing new goes to a box that is known to drain or to be gone"),
    COLD("cold", "a cold box is not pushed over by those who know that it is cold"),
    STRANGER("stranger", "nothing reaches a box that no client has sent"),
    ALIVE("alive", "a dispatcher does not end by itself");

    /** Every time limit of the rules is longer by this on sockets, in microseconds. */
    static final long SLACK = 50_000;
    /** What happened at two places in turn may bear times in the wrong order, so far apart at most. */
    static final long STAMPS_APART = 5_000;

    private final String key;
    private final String meaning;

    Rule(String key, String meaning) {
        this.key = key;
        this.meaning = meaning;
    }

    /** Its name in results. */
    public String key() {
        return key;
    }

    public String meaning() {
        return meaning;
    }
}
