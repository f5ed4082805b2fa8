package ryemast.membership;

import java.util.List;

/**
 * The changes since the previous update.
 *
 * @param members the current state of the workers that changed, including those that are gone
 * @param expired workers whose state may be discarded
 * @param messages messages for the operators
 */
public record MembershipUpdate(List<Member> members, List<String> expired, List<String> messages) {

    public boolean isEmpty() {
        return members.isEmpty() && expired.isEmpty() && messages.isEmpty();
    }
}
