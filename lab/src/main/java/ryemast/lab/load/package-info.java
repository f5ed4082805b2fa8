/**
 * Measures dispatchers under load: plans that become scenarios, the search for the highest rate, and the
 * arithmetic of what a run needs of the machine.
 */
package ryemast.lab.load;
