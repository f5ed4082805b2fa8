package ryemast.membership;

import pipitladder.Dispatcher.WorkerInfo;

/**
 * A worker with the state in effect. Immutable.
 *
 * @param info the worker as the decision module sees it
 * @param address the worker's address
 * @param detail details of the reason
 * @param since since when it has this state for this reason
 */
public record Member(WorkerInfo info, String address, StateReason reason, String detail, long since) {

    public String id() {
        return info.id();
    }

    /** Whether anything but the details differs. */
    boolean differs(Member other) {
        return other == null || reason != other.reason || !address.equals(other.address)
                || differs(info, other.info);
    }

    /** Whether a component differs; written out for the reason given at {@link ListedWorker#isSameAs}. */
    private static boolean differs(WorkerInfo info, WorkerInfo other) {
        return info.state() != other.state() || info.startedAt() != other.startedAt()
                || info.share() != other.share() || info.weight() != other.weight()
                || info.kind() != other.kind() || info.zone() != other.zone() || info.cell() != other.cell();
    }
}
