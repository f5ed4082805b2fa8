package ryemast.move;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The two sites' records, and what each coordinator has read and sent, encoded as bytes, so that millions
 * of states can be searched. The coordinators' decisions come from {@link MigrationCoordinator} itself.
 */
class ModelState {

    /**
     * What is searched.
     *
     * @param requestChanges  changes of the file: no migration, or another load
     * @param staleReads      whether responses may be stale
     * @param restoredSite    whose record is restored from a backup once, 0 or 1; -1: neither
     * @param migratesBack    B requests a migration back
     * @param jobs            scheduled jobs, each executed twice
     * @param capacity        of B, in services; one less after a worker is lost, if {@code losesCapacity}
     * @param epochs          maximum number of migrations of a service
     */
    record Setup(int services, int coordinators, int requestChanges, boolean staleReads, int restoredSite,
            boolean migratesBack, int jobs, int capacity, boolean losesCapacity, int epochs, int depth) {
    }

    record PendingWrite(SiteRecord record, Decision.Reservation reservation) {
    }

    static final int SETTLE = 100;
    static final int NOW = 1_000;
    /**
     * Offsets: records, previous ones, the backup, the request, executions claimed at A and B, those that
     * A's records show, and those that its backup shows.
     */
    static final int RECORD = 0;
    static final int PREVIOUS = 2;
    static final int BACKUP = 4;
    static final int REQUEST = 5;
    static final int CLAIMED = 6;
    static final int RECORDED = 8;
    static final int SAVED = 9;
    static final int COORDINATORS = 10;
    /**
     * Offsets for a coordinator: its readings of the own and the other record, its pending write, its
     * flags.
     */
    static final int OWN = 0;
    static final int OTHER = 1;
    static final int PENDING = 2;
    static final int FLAGS = 3;
    static final int SIZE = 4;
    static final int SETTLED = 1;
    static final int REREAD = 2;
    static final int OTHER_READ_AFTER = 4;
    static final int CURRENT = 8;
    static final int READ_BEFORE = 16;
    /** An own record that is outdated, and on which the coordinator still acts. */
    static final int OUTDATED = 255;
    static final Load[] LOADS = {Load.NOTHING, new Load(1, 1), new Load(1, 2)};

    final Setup setup;
    private final int length;
    private final List<SiteRecord> records = new ArrayList<>();
    private final Map<SiteRecord, Integer> recordIds = new HashMap<>();
    final List<PendingWrite> pendingWrites = new ArrayList<>();
    private final Map<PendingWrite, Integer> pendingWriteIds = new HashMap<>();
    private final byte[] actingCache = new byte[4 << 16];
    byte[] state;

    ModelState(Setup setup) {
        this.setup = setup;
        length = COORDINATORS + 2 * setup.coordinators * SIZE;
        records.add(null);
        pendingWrites.add(null);
        state = new byte[setup.services * length + 1];
        state[state.length - 1] = (byte) setup.capacity;
        for (int j = 0; j < setup.services; j++) {
            put(j, RECORD, id(SiteRecord.INITIAL));
            put(j, RECORD + 1, id(SiteRecord.NONE));
            put(j, PREVIOUS, id(SiteRecord.INITIAL));
            put(j, PREVIOUS + 1, id(SiteRecord.NONE));
            put(j, REQUEST, 1);
        }
    }

    int id(SiteRecord side) {
        return recordIds.computeIfAbsent(side, each -> {
            records.add(each);
            return checkedId(records.size() - 1);
        });
    }

    int id(PendingWrite pending) {
        return pendingWriteIds.computeIfAbsent(pending, each -> {
            pendingWrites.add(each);
            return checkedId(pendingWrites.size() - 1);
        });
    }

    private static int checkedId(int id) {
        if (id >= OUTDATED) {
            throw new IllegalStateException("more records than fit into a byte");
        }
        return id;
    }

    int get(int j, int at) {
        return state[j * length + at] & 255;
    }

    void put(int j, int at, int value) {
        state[j * length + at] = (byte) value;
    }

    int at(int coordinator, int field) {
        return COORDINATORS + coordinator * SIZE + field;
    }

    boolean has(int j, int coordinator, int bit) {
        return (get(j, at(coordinator, FLAGS)) & bit) != 0;
    }

    void set(int j, int coordinator, int bit, boolean on) {
        int bits = get(j, at(coordinator, FLAGS));
        put(j, at(coordinator, FLAGS), on ? bits | bit : bits & ~bit);
    }

    int site(int coordinator) {
        return coordinator / setup.coordinators;
    }

    int requestedLoad(int j) {
        return get(j, REQUEST) & 3;
    }

    int firstCoordinator(int site) {
        return site * setup.coordinators;
    }

    SiteRecord recordOf(int id) {
        return records.get(id);
    }

    SiteRecord record(int j, int site) {
        return records.get(get(j, RECORD + site));
    }

    int readBeforeFlag(int coordinator) {
        return READ_BEFORE << coordinator - firstCoordinator(site(coordinator));
    }

    int reservedServices() {
        int sum = 0;
        for (int j = 0; j < setup.services; j++) {
            var phase = record(j, 1).phase();
            sum += phase.active() || phase.reserved() ? 1 : 0;
        }
        return sum;
    }

    boolean hasCapacity(int j) {
        var phase = record(j, 1).phase();
        return reservedServices() + (phase.active() || phase.reserved() ? 0 : 1) <= state[state.length - 1];
    }

    /** The latest scheduled time of the job that was claimed at the site, as its records show. */
    int claimed(int j, int site, int job) {
        int recorded = get(j, site == 0 ? RECORDED : CLAIMED + 1) >> job * 2;
        return (recorded & 2) != 0 ? 2 : recorded & 1;
    }

    int watermark(int j, int site, int job) {
        return (int) Math.max(claimed(j, site, job), record(j, site).scheduledAfter());
    }

    MigrationContext context(int j, int coordinator) {
        int site = site(coordinator);
        int load = site == 0 ? requestedLoad(j) : setup.migratesBack ? 1 : 0;
        var request = load == 0 ? null : new MigrationRequest("s", site == 0 ? "B" : "A", LOADS[load]);
        return new MigrationContext(site == 0 ? "A" : "B", site == 0 ? "B" : "A", NOW, true, 0, request,
                record(j, site).epoch() < setup.epochs, SETTLE - 2, SETTLE,
                Math.max(watermark(j, site, 0), watermark(j, site, 1)), 1, 0, site == 0 || hasCapacity(j),
                true, true);
    }

    RecordReading own(int j, int coordinator) {
        int recordId = get(j, at(coordinator, OWN));
        return recordId == 0 ? RecordReading.UNREAD
                : new RecordReading(records.get(recordId), 1, NOW,
                has(j, coordinator, OTHER_READ_AFTER) ? NOW : NOW + 1);
    }

    RecordReading other(int j, int coordinator) {
        int recordId = get(j, at(coordinator, OTHER));
        return recordId == 0 ? RecordReading.UNREAD
                : new RecordReading(records.get(recordId), 1, NOW,
                NOW - SETTLE + (has(j, coordinator, REREAD) ? 0 : 1));
    }

    boolean acts(int j, int coordinator) {
        int read = get(j, at(coordinator, OWN));
        if (read == 0 || read == OUTDATED) {
            return read == OUTDATED;
        }
        // All that the result depends on here; it is needed a hundred times for each state.
        int key = (site(coordinator) << 1 | (requestedLoad(j) == 0 ? 0
                : 1)) << 16 | read << 8 | get(j, at(coordinator, OTHER));
        if (actingCache[key] == 0) {
            boolean acts = MigrationCoordinator.servingState(context(j, coordinator), own(j, coordinator),
                    other(j, coordinator)).active();
            actingCache[key] = (byte) (acts ? 1 : 2);
        }
        return actingCache[key] == 1;
    }

    boolean isActive(int j, int site) {
        for (int coordinator = firstCoordinator(site);
                coordinator < firstCoordinator(site) + setup.coordinators; coordinator++) {
            if (acts(j, coordinator)) {
                return true;
            }
        }
        return false;
    }

    /** Clears what no event depends on, so that equivalent states are merged. */
    void normalize() {
        for (int j = 0; j < setup.services; j++) {
            for (int coordinator = 0; coordinator < 2 * setup.coordinators; coordinator++) {
                int remote = get(j, at(coordinator, OTHER));
                if (remote == 0 || !records.get(remote).phase().closed()) {
                    set(j, coordinator, SETTLED | REREAD, false);
                }
                if (!acts(j, coordinator)) {
                    set(j, coordinator, READ_BEFORE | READ_BEFORE << 1, false);
                }
            }
            for (int site = 0; setup.coordinators == 2 && site < 2; site++) {
                swapIfGreater(j, firstCoordinator(site), firstCoordinator(1 - site));
            }
        }
    }

    /** Symmetry reduction: the two coordinators of a site are interchangeable. */
    void swapIfGreater(int j, int first, int remote) {
        for (int i = 0; i < SIZE; i++) {
            int left = get(j, at(first, i)) & 15;
            int right = get(j, at(first + 1, i)) & 15;
            if (i < FLAGS) {
                left = get(j, at(first, i));
                right = get(j, at(first + 1, i));
            }
            if (left != right) {
                if (left > right) {
                    swap(j, first, remote);
                }
                return;
            }
        }
    }

    void swap(int j, int first, int remote) {
        for (int i = 0; i < SIZE; i++) {
            int left = get(j, at(first, i));
            put(j, at(first, i), get(j, at(first + 1, i)));
            put(j, at(first + 1, i), left);
        }
        for (int each = remote; each < remote + 2; each++) {
            boolean flag = has(j, each, READ_BEFORE);
            set(j, each, READ_BEFORE, has(j, each, READ_BEFORE << 1));
            set(j, each, READ_BEFORE << 1, flag);
        }
    }
}
