package ryemast.membership;

import java.util.List;

/**
 * What has changed since it was last asked for.
 *
 * @param members    as they are now, those that are gone among them
 * @param forgotten  their books may be taken away
 * @param news       lines for the operators
 */
public record Change(List<Member> members, List<String> forgotten, List<String> news) {

    public boolean isEmpty() {
        return members.isEmpty() && forgotten.isEmpty() && news.isEmpty();
    }
}
