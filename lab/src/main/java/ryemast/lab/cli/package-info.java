/** The lab's commands: what they take, show while they run, and leave behind. */
package ryemast.lab.cli;
