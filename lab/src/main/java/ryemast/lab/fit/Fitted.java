package ryemast.lab.fit;

import java.util.List;
import ryemast.lab.scenario.Replay;

/**
 * What was learned.
 *
 * @param tables    the scenario to be written
 * @param found     what went wrong, in words
 * @param untold    what can't be told from the recording, in words
 * @param warnings  what is wrong with the recording itself
 * @param replay    the very jobs that came
 */
public record Fitted(String title, List<Table> tables, List<Mishap> mishaps, List<String> found,
        List<String> untold, List<String> warnings, Replay replay, List<String> classNames,
        List<String> tenantNames) {
}
