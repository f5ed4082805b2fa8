package ryemast.lab.fleet;

/** Holds a trial's books against rules of one kind, and adds what it counted to the result. */
public interface FleetJudge {

    void judge(FleetBooks books, Findings findings);
}
