package ryemast.lab.books;

import java.util.function.Consumer;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.scenario.Scenario;

/** A dispatcher ends only when it is told to, or killed. */
final class StayAlive implements Law {

    @Override
    public void judge(Scenario scenario, History history, Consumer<Breach> broken) {
        history.dispatchers().forEach((dispatcher, states) -> states.stream()
                .filter(state -> state.state() == DispatcherState.DIED)
                .forEach(state -> broken.accept(new Breach(Rule.ALIVE, state.at(), null, -1, dispatcher,
                        "Dispatcher " + dispatcher + " ended by itself though nobody had told it to."))));
    }
}
