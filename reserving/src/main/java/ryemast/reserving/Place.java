package ryemast.reserving;

import ryemast.coordination.Editions;
import ryemast.fleet.FleetView;

/** This process's place in its fleet. Owned by the loop. */
public interface Place extends Editions.Place {

    /** Judged by the clock as it is. */
    FleetView view();

    /** Under which this process has its name; 0: never had it. */
    long incarnation();
}
