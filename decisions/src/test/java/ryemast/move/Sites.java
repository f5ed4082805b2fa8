package ryemast.move;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The two sites' records, and what each mover has read and sent, as bytes, so that millions of them can be
 * gone through; and what the movers make of it, which is asked of {@link Mover} itself.
 */
class Sites {

    /**
     * What is searched.
     *
     * @param wishes    changes of the file: no move, or another load
     * @param restored  whose record is put back once, 0 or 1; -1: nobody's
     * @param back      B wants the service back
     * @param fires     entries, each of which fires twice
     * @param room      at B, in services; one fewer after a box is lost, where that is {@code loss}
     * @param epochs    moves of a service begun at most
     */
    record Setup(int services, int movers, int wishes, boolean stale, int restored,
            boolean back, int fires, int room, boolean loss, int epochs, int depth) {
    }

    record Sent(Side to, Next.Room room) {
    }

    static final int SETTLE = 100;
    static final int NOW = 1_000;
    /** Records, former ones, the backup, wishes, fires claimed at A and B, those that A's records show. */
    static final int REC = 0;
    static final int OLD = 2;
    static final int BACKUP = 4;
    static final int WISH = 5;
    static final int CLAIMED = 6;
    static final int SHOWN = 8;
    static final int SAVED = 9;
    static final int MOVERS = 10;
    /** Of a mover: what it read of its own record, of the other's, what it sent, and about these. */
    static final int OWN = 0;
    static final int OTHER = 1;
    static final int SENT = 2;
    static final int BITS = 3;
    static final int SIZE = 4;
    static final int PASSED = 1;
    static final int LOOKED = 2;
    static final int AFTER = 4;
    static final int CURRENT = 8;
    static final int OLDER = 16;
    /** An own record that is not the present one, and by which the mover still acts. */
    static final int FORMER = 255;
    static final Load[] LOADS = {Load.NOTHING, new Load(1, 1), new Load(1, 2)};

    final Setup setup;
    private final int length;
    private final List<Side> sides = new ArrayList<>();
    private final Map<Side, Integer> sideIds = new HashMap<>();
    final List<Sent> sent = new ArrayList<>();
    private final Map<Sent, Integer> sentIds = new HashMap<>();
    private final byte[] acting = new byte[4 << 16];
    byte[] w;

    Sites(Setup setup) {
        this.setup = setup;
        length = MOVERS + 2 * setup.movers * SIZE;
        sides.add(null);
        sent.add(null);
        w = new byte[setup.services * length + 1];
        w[w.length - 1] = (byte) setup.room;
        for (int j = 0; j < setup.services; j++) {
            put(j, REC, id(Side.AT_HOME));
            put(j, REC + 1, id(Side.NONE));
            put(j, OLD, id(Side.AT_HOME));
            put(j, OLD + 1, id(Side.NONE));
            put(j, WISH, 1);
        }
    }

    int id(Side side) {
        return sideIds.computeIfAbsent(side, each -> {
            sides.add(each);
            return inByte(sides.size() - 1);
        });
    }

    int id(Sent one) {
        return sentIds.computeIfAbsent(one, each -> {
            sent.add(each);
            return inByte(sent.size() - 1);
        });
    }

    private static int inByte(int id) {
        if (id >= FORMER) {
            throw new IllegalStateException("more records than a byte can number");
        }
        return id;
    }

    int get(int j, int at) {
        return w[j * length + at] & 255;
    }

    void put(int j, int at, int value) {
        w[j * length + at] = (byte) value;
    }

    int at(int mover, int what) {
        return MOVERS + mover * SIZE + what;
    }

    boolean has(int j, int mover, int bit) {
        return (get(j, at(mover, BITS)) & bit) != 0;
    }

    void set(int j, int mover, int bit, boolean on) {
        int bits = get(j, at(mover, BITS));
        put(j, at(mover, BITS), on ? bits | bit : bits & ~bit);
    }

    int site(int mover) {
        return mover / setup.movers;
    }

    int wish(int j) {
        return get(j, WISH) & 3;
    }

    int first(int site) {
        return site * setup.movers;
    }

    Side side(int id) {
        return sides.get(id);
    }

    Side record(int j, int site) {
        return sides.get(get(j, REC + site));
    }

    int older(int mover) {
        return OLDER << mover - first(site(mover));
    }

    int promised() {
        int sum = 0;
        for (int j = 0; j < setup.services; j++) {
            var phase = record(j, 1).phase();
            sum += phase.active() || phase.holding() ? 1 : 0;
        }
        return sum;
    }

    boolean fits(int j) {
        var phase = record(j, 1).phase();
        return promised() + (phase.active() || phase.holding() ? 0 : 1) <= w[w.length - 1];
    }

    /** The latest nominal time of the entry that was claimed at the site, as its records show. */
    int claimed(int j, int site, int entry) {
        int shown = get(j, site == 0 ? SHOWN : CLAIMED + 1) >> entry * 2;
        return (shown & 2) != 0 ? 2 : shown & 1;
    }

    int mark(int j, int site, int entry) {
        return (int) Math.max(claimed(j, site, entry), record(j, site).after());
    }

    Here here(int j, int mover) {
        int site = site(mover);
        int wish = site == 0 ? wish(j) : setup.back ? 1 : 0;
        var wanted = wish == 0 ? null : new Wanted("s", site == 0 ? "B" : "A", LOADS[wish]);
        return new Here(site == 0 ? "A" : "B", site == 0 ? "B" : "A", NOW, true, 0, wanted,
                record(j, site).epoch() < setup.epochs, SETTLE - 2, SETTLE,
                Math.max(mark(j, site, 0), mark(j, site, 1)), 1, 0, site == 0 || fits(j), true, true);
    }

    Sight own(int j, int mover) {
        int side = get(j, at(mover, OWN));
        return side == 0 ? Sight.NEVER
                : new Sight(sides.get(side), 1, NOW, has(j, mover, AFTER) ? NOW : NOW + 1);
    }

    Sight other(int j, int mover) {
        int side = get(j, at(mover, OTHER));
        return side == 0 ? Sight.NEVER
                : new Sight(sides.get(side), 1, NOW, NOW - SETTLE + (has(j, mover, LOOKED) ? 0 : 1));
    }

    boolean acts(int j, int mover) {
        int read = get(j, at(mover, OWN));
        if (read == 0 || read == FORMER) {
            return read == FORMER;
        }
        // All that the answer depends on here; it is asked for a hundred times for each state.
        int key = (site(mover) << 1 | (wish(j) == 0 ? 0 : 1)) << 16 | read << 8 | get(j, at(mover, OTHER));
        if (acting[key] == 0) {
            boolean acts = Mover.standing(here(j, mover), own(j, mover), other(j, mover)).active();
            acting[key] = (byte) (acts ? 1 : 2);
        }
        return acting[key] == 1;
    }

    boolean isActive(int j, int site) {
        for (int mover = first(site); mover < first(site) + setup.movers; mover++) {
            if (acts(j, mover)) {
                return true;
            }
        }
        return false;
    }

    /** Forgets what no event can depend on, so that more states are one. */
    void tidy() {
        for (int j = 0; j < setup.services; j++) {
            for (int mover = 0; mover < 2 * setup.movers; mover++) {
                int there = get(j, at(mover, OTHER));
                if (there == 0 || !sides.get(there).phase().closed()) {
                    set(j, mover, PASSED | LOOKED, false);
                }
                if (!acts(j, mover)) {
                    set(j, mover, OLDER | OLDER << 1, false);
                }
            }
            for (int site = 0; setup.movers == 2 && site < 2; site++) {
                swapIfGreater(j, first(site), first(1 - site));
            }
        }
    }

    /** Two movers of a site are alike. */
    void swapIfGreater(int j, int one, int there) {
        for (int i = 0; i < SIZE; i++) {
            int left = get(j, at(one, i)) & 15;
            int right = get(j, at(one + 1, i)) & 15;
            if (i < BITS) {
                left = get(j, at(one, i));
                right = get(j, at(one + 1, i));
            }
            if (left != right) {
                if (left > right) {
                    swap(j, one, there);
                }
                return;
            }
        }
    }

    void swap(int j, int one, int there) {
        for (int i = 0; i < SIZE; i++) {
            int left = get(j, at(one, i));
            put(j, at(one, i), get(j, at(one + 1, i)));
            put(j, at(one + 1, i), left);
        }
        for (int each = there; each < there + 2; each++) {
            boolean first = has(j, each, OLDER);
            set(j, each, OLDER, has(j, each, OLDER << 1));
            set(j, each, OLDER << 1, first);
        }
    }
}
