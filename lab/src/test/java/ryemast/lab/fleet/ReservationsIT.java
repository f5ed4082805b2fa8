package ryemast.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The trials of reservations at a small size: a dispatcher cut off as two more come; boxes that leave. */
class ReservationsIT {

    private static final Set<String> ITS = Set.of("reserved", "held", "book", "lab");

    @TempDir
    Path folder;

    @Test
    void noReservationIsExceededNorKeptFromItsService() throws Exception {
        var json = played("reservations-grow", 26);
        long begun = json.getAsJsonObject("begun_ms_per_s").get("schools-play").getAsLong();
        assertTrue(begun > 500 && begun < 2_200, json::toString);
        assertTrue(json.getAsJsonObject("reserved_by_replica").size() > 1, json::toString);
    }

    /**
     * Beside its other rules this asks for half of what is given; what all trials ask for is the next test's.
     */
    @Test
    void theBookFollowsBoxesThatLeaveAndWindowsThatOpen() throws Exception {
        var text = Files.readString(Path.of("lab", "trials", "reservations-leave.toml"));
        var eased = Files.writeString(folder.resolve("eased.toml"),
                text.replace("\nheld_s = 6\n", "\nheld_s = 6\nheld_less = 0.5\n"));
        var json = played(eased.toString(), 32);
        assertTrue(json.get("held_windows").getAsLong() > 0, json::toString);
        assertTrue(json.get("book_pages_yielding").getAsLong() > 0, json::toString);
        var begun = json.getAsJsonObject("begun_ms_per_s");
        assertTrue(begun.get("libraries-play").getAsLong() > 0, json::toString);
        assertEquals(0, begun.get("libraries-awards").getAsLong(), "its window is not open yet");
    }

    @Test
    @Tag("known-red")
    void aServiceBeginsThreeQuartersOfWhatItIsGivenWhereverItIsAsked() throws Exception {
        var json = played("reservations-leave", 32);
        assertTrue(json.get("held_windows").getAsLong() > 0, json::toString);
    }

    private JsonObject played(String name, double seconds) throws Exception {
        var trial = TrialFile.named(name).draw(1, 3, seconds);
        var result = new FleetRun(trial, folder).run(progress -> { });
        assertFalse(result.interrupted());
        // The site's other rules have trials of their own; on a busy machine some are about its pauses.
        assertEquals(List.of(), result.breaches().stream().filter(each -> ITS.contains(each.rule()))
                .toList());
        return result.json();
    }
}
