package ryemast;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * What the module's dependencies can't say: decisions do no I/O and have no threads, clocks or chance of
 * their own, so that the same events give the same actions on any machine and in any simulated time.
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
    void noThreadsClocksOrChanceFromOutside() {
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

    /** The policy leans on no other decision module's inside, and nothing leans on the simulator's wire. */
    @Test
    void thePolicyKnowsNoDeployment() {
        noClasses().that().resideInAPackage("pipitladder").should().dependOnClassesThat()
                .resideInAPackage("ryemast.settings").check(DECISIONS);
    }
}
