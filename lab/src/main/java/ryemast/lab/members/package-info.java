/**
 * Measures how dispatchers follow the list of boxes: how soon a drain is kept, what a list of thousands
 * costs.
 */
package ryemast.lab.members;
