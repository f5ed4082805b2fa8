package ryemast.lab.consul;

import java.util.ArrayList;
import java.util.List;
import ryemast.lab.consul.ConsulFault.Kind;

/** The faults that strike one call, as they were when it came. */
record Struck(List<ConsulFault> faults) {

    static final Struck NONE = new Struck(List.of());

    boolean has(Kind kind) {
        return faults.stream().anyMatch(each -> each.kind() == kind);
    }

    /** Whether it is one of so many calls that a fault was set for: it stays so, whenever it is answered. */
    boolean counted(Kind kind) {
        return faults.stream().anyMatch(each -> each.kind() == kind && each.isCounted());
    }

    /** The sizes of all of a kind together; 0 for none. */
    long size(Kind kind) {
        return faults.stream().filter(each -> each.kind() == kind).mapToLong(ConsulFault::size).sum();
    }

    /** The same, and one more of this kind. */
    Struck and(Kind kind) {
        var more = new ArrayList<>(faults);
        more.add(new ConsulFault(kind, "", 0, Long.MAX_VALUE, 1));
        return new Struck(more);
    }
}
