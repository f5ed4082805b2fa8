package ryemast.lab.site;

/** Whoever tells dispatchers of boxes, as far as faults strike it. */
public interface Directory {

    /** From here on nothing is answered and no news told. */
    void stall();

    void goOn();

    /** From here on nobody is there. */
    void goDown();

    void comeUp();
}
