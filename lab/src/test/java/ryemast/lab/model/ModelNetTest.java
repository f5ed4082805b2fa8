package ryemast.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.world.Chance;
import ryemast.lab.world.VirtualTime;

class ModelNetTest {

    private final VirtualTime time = new VirtualTime(0);

    @Test
    void aMessageTakesTheWayFromWhenItLeaves() {
        var net = new ModelNet(new Scenario.Model(300, 0, 0, 0, 0), time, new Chance(1));
        List<Long> at = new ArrayList<>();
        net.party("p", 0).way().send(50, () -> at.add(time.now()));
        time.advanceTo(1_000);
        assertEquals(List.of(350L), at);
    }

    @Test
    void jitterIsAddedAndOrderStays() {
        var net = new ModelNet(new Scenario.Model(300, 500, 0, 0, 0), time, new Chance(1));
        var way = net.party("p", 0).way();
        List<Integer> order = new ArrayList<>();
        List<Long> at = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int number = i;
            way.send(i, () -> {
                order.add(number);
                at.add(time.now());
            });
        }
        time.advanceTo(1_000_000);
        for (int i = 0; i < 200; i++) {
            assertEquals(i, order.get(i));
            assertTrue(at.get(i) >= 300 + i);
        }
        assertTrue(at.get(199) > 600, "no jitter at all");
    }

    @Test
    void partiesDrawFromStreamsOfTheirOwn() {
        long[] alone = arrivals(false);
        long[] beside = arrivals(true);
        assertEquals(alone[0], beside[0]);
    }

    private static long[] arrivals(boolean other) {
        var time = new VirtualTime(0);
        var net = new ModelNet(new Scenario.Model(0, 500, 0, 0, 0), time, new Chance(9));
        if (other) {
            net.party("other", 0).send(0, () -> { });
        }
        long[] at = new long[1];
        net.party("p", 0).send(0, () -> at[0] = time.now());
        time.advanceTo(1_000_000);
        return at;
    }
}
