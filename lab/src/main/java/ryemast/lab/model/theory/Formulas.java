package ryemast.lab.model.theory;

/** What queueing theory says of single queues; rates and times in any one unit. */
final class Formulas {

    private Formulas() {
    }

    /** The part of jobs that wait in M/M/c (Erlang, 1917), by the stable recursion over Erlang B. */
    static double erlangC(int servers, double load) {
        double offered = servers * load;
        double b = 1;
        for (int i = 1; i <= servers; i++) {
            b = offered * b / (i + offered * b);
        }
        return b / (1 - load * (1 - b));
    }

    /** The mean wait in M/M/c. */
    static double waitOfMmc(int servers, double load, double meanService) {
        return erlangC(servers, load) * meanService / (servers * (1 - load));
    }

    /** The mean wait in M/G/1 (Pollaczek, 1930; Khinchine, 1932); {@code variation}: of the service. */
    static double waitOfMg1(double load, double meanService, double variation) {
        return load * meanService * (1 + variation * variation) / 2 / (1 - load);
    }
}
