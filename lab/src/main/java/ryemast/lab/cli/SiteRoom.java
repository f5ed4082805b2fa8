package ryemast.lab.cli;

import ryemast.lab.load.Room;
import ryemast.lab.scenario.Scenario;

/** Whether a scenario's boxes and clients fit into the descriptors there are, before anything is started. */
final class SiteRoom {

    private SiteRoom() {
    }

    /**
     * A scenario says itself how many descriptors its dispatchers hold; those of the emulator are reckoned.
     */
    static void check(Scenario scenario) throws BadCall {
        var load = scenario.load();
        var reckoned = Room.of(scenario.boxes().size(), Math.max(1, load.connections()), load.ratePerSecond(),
                scenario.dispatchers().count());
        var room = new Room(reckoned.emulator(), scenario.dispatchers().sockets(), reckoned.heapMb());
        var refusal = room.refusal(Room.Limit.own(), "root".equals(System.getProperty("user.name")));
        if (refusal != null) {
            throw new BadCall(scenario.name() + ": " + refusal);
        }
    }
}
