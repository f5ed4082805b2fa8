/**
 * Dispatchers of the textbooks, and one that knows everything: what the decision module is compared with. For
 * the lab only.
 */
package ryemast.lab.model.policy;
