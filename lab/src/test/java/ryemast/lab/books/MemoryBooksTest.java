package ryemast.lab.books;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ryemast.lab.books.Books.End;
import ryemast.lab.books.Books.Reply;

class MemoryBooksTest {

    private static final int JOBS = 10_000;

    private final MemoryBooks books = new MemoryBooks();

    private static Try tried(int number) {
        return new Try("t" + number, new Job(number, 0, 0, 1_000, 1, 0, number, number + 1_000, false), 0,
                number + 1_000);
    }

    @Test
    void whatManyThreadsWriteOfTheSameTriesComesTogether() {
        var clients = CompletableFuture.runAsync(() -> IntStream.range(0, JOBS).forEach(i -> {
            books.asked(tried(i), 0, i);
            books.told("t" + i, i + 90, 200, 0, "r" + i);
        }));
        IntStream.range(0, JOBS).forEach(i -> books.tries().add(tried(i)));
        var boxes = IntStream.range(0, 3).mapToObj(box -> CompletableFuture.runAsync(() -> {
            for (int i = box; i < JOBS; i += 3) {
                books.ended(box, 0, "t" + i, i + 80, End.DONE, 1_000, "r" + i);
                books.began(box, 0, "t" + i, i + 20);
                books.replied(box, 0, "t" + i, i + 10, Reply.TAKEN);
                books.arrived(box, 0, "t" + i, i + 5, i + 6);
            }
        })).toList();
        CompletableFuture.allOf(boxes.toArray(CompletableFuture[]::new)).join();
        clients.join();
        assertEquals(6L * JOBS, books.entries());
        History history = books.read();
        assertEquals(JOBS, history.jobs().size());
        for (JobStory job : history.jobs()) {
            int number = (int) job.job().number();
            assertEquals(List.of(new Attempt(number % 3, 0, number + 5, number + 6, 0, Reply.TAKEN,
                    number + 10, number + 20, End.DONE, number + 80, 1_000,
                    Fingerprint.of("r" + number), Attempt.NEVER)),
                    job.last().attempts());
            assertSame(job.last().attempts().get(0), job.last().servedBy());
        }
        assertEquals(0, history.beganAt());
        assertEquals(JOBS - 1 + 90, history.endedAt());
    }

    @Test
    void linesOfASecondAttemptAtTheSameBoxBelongToThatOne() {
        books.asked(tried(0), 0, 0);
        books.arrived(2, 0, "t0", 5, 6);
        books.replied(2, 0, "t0", 7, Reply.TURNED_AWAY);
        books.arrived(2, 0, "t0", 20, 21);
        books.replied(2, 0, "t0", 22, Reply.TAKEN);
        books.began(2, 0, "t0", 23);
        List<Attempt> attempts = books.read().jobs().get(0).last().attempts();
        assertEquals(List.of(Reply.TURNED_AWAY, Reply.TAKEN), attempts.stream().map(Attempt::reply).toList());
        assertTrue(!attempts.get(0).began() && attempts.get(1).began());
    }

    @Test
    void readingInTheMiddleOfARunGivesWhatIsThere() {
        books.asked(tried(0), 1, 3);
        assertEquals(TryStory.Outcome.UNANSWERED, books.read().jobs().get(0).outcome());
        books.told("t0", 9, 429, 0, "");
        assertEquals(TryStory.Outcome.REFUSED, books.read().jobs().get(0).outcome());
        assertEquals(0, new MemoryBooks().read().endedAt());
    }
}
