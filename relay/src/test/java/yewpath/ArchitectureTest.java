package yewpath;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** Checks the dependencies between packages: they form no cycle, and the decision code does no I/O. */
public final class ArchitectureTest {
    private final JavaClasses projectClasses = new ClassFileImporter()
        .withImportOption(new ImportOption.DoNotIncludeTests())
        // The standins module is on the class path of the tests only; it is a separate program.
        .withImportOption(location -> !location.contains("standins")).importPackages("yewpath");

    /** Guards against cyclic dependencies between packages. */
    @Test
    public void packagesHaveNoDependencyCycles() {
        slices().matching("yewpath.(*)..").should().beFreeOfCycles().check(projectClasses);
    }

    /**
     * Guards against decisions that can't be replayed, because the decision code reads a clock, a file, a
     * socket or an unseeded random generator.
     */
    @Test
    public void decisionCodeUsesNoClockFileOrSocket() {
        classes().that().resideInAPackage("yewpath").should().onlyDependOnClassesThat()
            .resideInAnyPackage("yewpath", "java.lang", "java.util", "java.util.function", "java.util.stream",
                "java.util.zip",
                "java.nio", "java.lang.invoke", "java.lang.runtime")
            .check(projectClasses);
        noClasses().that().resideInAPackage("yewpath").should().callMethod(System.class, "nanoTime")
            .orShould().callMethod(System.class, "currentTimeMillis").orShould().dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Random").check(projectClasses);
    }

    /** Guards against lower layers that depend on higher ones. */
    @Test
    public void layersDependOnLowerLayersOnly() {
        layeredArchitecture().consideringOnlyDependenciesInLayers()
            .layer("command").definedBy("yewpath.command").layer("relay").definedBy("yewpath.relay")
            .layer("stages")
            .definedBy("yewpath.intake", "yewpath.delivery", "yewpath.outcome", "yewpath.directory")
            .layer("http").definedBy("yewpath.http").layer("loop").definedBy("yewpath.loop")
            .layer("base")
            .definedBy("yewpath.events", "yewpath.operator", "yewpath.json", "yewpath.configuration")
            .whereLayer("command").mayNotBeAccessedByAnyLayer().whereLayer("relay")
            .mayOnlyBeAccessedByLayers("command")
            .whereLayer("stages").mayOnlyBeAccessedByLayers("relay")
            .whereLayer("http").mayOnlyBeAccessedByLayers("stages", "relay")
            .whereLayer("base").mayOnlyBeAccessedByLayers("command", "relay", "stages", "http", "loop")
            .check(projectClasses);
    }

    /**
     * Guards against third-party libraries that are used outside of the one package that wraps each of them.
     */
    @Test
    public void eachLibraryIsUsedInOnePackageOnly() {
        noClasses().that().resideOutsideOfPackage("yewpath.events").should().dependOnClassesThat()
            .resideInAPackage("org.tinylog..").check(projectClasses);
        noClasses().that().resideOutsideOfPackage("yewpath.configuration").should().dependOnClassesThat()
            .resideInAnyPackage("org.tomlj..", "org.apache.commons..").check(projectClasses);
        noClasses().that().resideOutsideOfPackage("yewpath.command").should().dependOnClassesThat()
            .resideInAPackage("com.beust..").check(projectClasses);
    }
}
