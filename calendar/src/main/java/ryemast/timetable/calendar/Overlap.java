package ryemast.timetable.calendar;

/** What becomes of a fire that is due while an earlier one of its entry has not ended. */
public enum Overlap {
    /** It is sent all the same. */
    ALLOW,
    /** It is not sent at all. */
    SKIP,
    /** It is sent once the earlier one has ended, if its window allows. */
    WAIT
}
