package ryemast.core;

import java.util.ArrayList;
import java.util.List;

/** One request from a terminal, from its arrival until it is answered and all its routed tasks have ended. */
public final class Transaction {

    final long number;
    /** Without its body once it is answered. */
    Submission submission;
    final Terminal terminal;
    final List<RoutedTask> tasks = new ArrayList<>(1);
    boolean answered;
    Runnable backstop;

    Transaction(long number, Submission submission, Terminal terminal) {
        this.number = number;
        this.submission = submission;
        this.terminal = terminal;
    }

    /** Each attempt's worker and outcome, in their order, for the log. */
    List<String> attempts() {
        return tasks.stream().map(RoutedTask::described).toList();
    }

    /** Whether any attempt may have run, or may yet. */
    boolean mayHaveRun() {
        return tasks.stream().anyMatch(RoutedTask::mayHaveRun);
    }

    boolean over() {
        return answered && tasks.stream().allMatch(RoutedTask::ended);
    }
}
