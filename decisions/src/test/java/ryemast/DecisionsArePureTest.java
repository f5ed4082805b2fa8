package ryemast;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Decision modules do no I/O and use no threads, clocks or randomness of their own, so that the same events
 * give the same actions on any machine and in simulated time. The module's dependencies alone can't enforce
 * that.
 */
class DecisionsArePureTest {

    private static final JavaClasses DECISIONS = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("pipitladder", "ryemast");

    @Test
    void onlyTheLanguageAndItsCollectionsAreUsed() {
        classes().should().onlyDependOnClassesThat().resideInAnyPackage("pipitladder..", "ryemast..",
                "java.lang", "java.lang.invoke", "java.lang.runtime", "java.util", "java.util.function",
                "java.util.regex", "java.util.stream").check(DECISIONS);
    }

    @Test
    void noThreadsClocksOrExternalRandomness() {
        noClasses().should().dependOnClassesThat().haveFullyQualifiedName("java.util.Random")
                .orShould().dependOnClassesThat().haveFullyQualifiedName("java.util.Timer")
                .orShould().dependOnClassesThat().haveFullyQualifiedName("java.util.Date")
                .orShould().dependOnClassesThat().belongToAnyOf(Thread.class, ThreadLocal.class,
                        Runtime.class, Process.class, ProcessBuilder.class)
                .orShould().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis")
                .orShould().callMethod(System.class, "getenv", String.class)
                .orShould().callMethod(Math.class, "random").check(DECISIONS);
    }

    /** The policy must not depend on the settings of a deployment. */
    @Test
    void policyDoesNotDependOnDeploymentSettings() {
        noClasses().that().resideInAPackage("pipitladder").should().dependOnClassesThat()
                .resideInAPackage("ryemast.settings").check(DECISIONS);
    }
}
