package ryemast.lab.books;

import java.util.function.Consumer;
import ryemast.lab.scenario.Scenario;

/** Judges one rule from the books, each breach told once. */
interface Law {

    void judge(Scenario scenario, History history, Consumer<Breach> broken);
}
