package ryemast.membership;

import java.util.List;

/**
 * What a source says at one time.
 *
 * @param source    its name
 * @param version   grows with each change at the source; a lower one than before means that the source was
 *                  set back to an earlier state, or that another one answers in its place
 * @param complete  whether whoever is not named is not there; else only the named ones are spoken of
 * @param age       how long ago the source itself was certain of it, in microseconds; 0: now
 */
public record Listing(String source, long version, boolean complete, long age, List<Sighting> sightings) {

    public Listing {
        sightings = List.copyOf(sightings);
    }

    /** The same with other sightings. */
    public Listing with(List<Sighting> others) {
        return new Listing(source, version, complete, age, others);
    }
}
