package ryemast.timetable.calendar;

/**
 * Which timetable, or which site's reservations, it is. The highest number wins over the fleet, whoever read
 * it first; one number stands for one content.
 *
 * @param number  from 1
 * @param digest  SHA-256 of the content, in hexadecimal digits
 */
public record Revision(long number, String digest) {

    /** Whether it comes in the place of another: it does if its number is higher. */
    public boolean replaces(Revision inForce) throws RevisionConflictException {
        if (number == inForce.number && !digest.equals(inForce.digest)) {
            throw new RevisionConflictException(this, inForce);
        }
        return number > inForce.number;
    }
}
