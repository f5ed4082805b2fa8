package ryemast;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The arrows between the rooms run downward only; the modules' own pom.xml say the same, one by one. */
class ArrowsTest {

    @Test
    void arrowsRunDownward() {
        JavaClasses all = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("pipitladder", "ryemast");
        layeredArchitecture().consideringOnlyDependenciesInLayers()
                .layer("decisions").definedBy("pipitladder", "ryemast.settings..", "ryemast.health..",
                        "ryemast.membership..", "ryemast.pacing..", "ryemast.recovery..")
                .layer("benchlink").definedBy("pipitladder.benchlink..")
                .layer("core").definedBy("ryemast.core..")
                .layer("net").definedBy("ryemast.net..")
                .layer("consul").definedBy("ryemast.consul..")
                .layer("store").definedBy("ryemast.store..")
                .layer("wire").definedBy("ryemast.wire..")
                .layer("batch").definedBy("ryemast.batch..")
                .layer("app").definedBy("ryemast", "ryemast.config..", "ryemast.toml..",
                        "ryemast.log..", "ryemast.operator..", "ryemast.record..", "ryemast.cli..")
                .whereLayer("app").mayNotBeAccessedByAnyLayer()
                .whereLayer("consul").mayOnlyBeAccessedByLayers("app")
                .whereLayer("batch").mayOnlyBeAccessedByLayers("app")
                .whereLayer("store").mayOnlyBeAccessedByLayers("batch")
                .whereLayer("wire").mayOnlyBeAccessedByLayers("batch")
                .whereLayer("store").mayNotAccessAnyLayer()
                .whereLayer("wire").mayNotAccessAnyLayer()
                .whereLayer("net").mayOnlyBeAccessedByLayers("consul", "batch", "app")
                .whereLayer("core").mayOnlyBeAccessedByLayers("net", "consul", "batch", "app")
                .whereLayer("benchlink").mayOnlyBeAccessedByLayers("app")
                .check(all);
    }
}
