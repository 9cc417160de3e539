package firstage;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** What decides knows no socket, file, thread or clock; what serves loads no tool. */
@AnalyzeClasses(packages = "firstage", importOptions = ImportOption.DoNotIncludeTests.class)
class ArrowsTest {
    private static final String[] FREE = {"firstage", "firstage.door", "firstage.state", "firstage.life",
            "firstage.fleet"};

    @ArchTest
    final ArchRule WITHOUT_IO = noClasses().that().resideInAnyPackage(FREE).should().dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio..", "java.io..", "java.util.concurrent..",
                    "java.util.logging..",
                    "org.xnio..", "io.undertow..", "firstage.net..", "firstage.app..", "java.time..");

    @ArchTest
    final ArchRule WITHOUT_CLOCK = noClasses().that().resideInAnyPackage(FREE).should()
            .callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
            .orShould().dependOnClassesThat().areAssignableTo(Thread.class);

    @ArchTest
    final ArchRule SERVES_ALONE = noClasses().that().resideInAnyPackage("firstage", "firstage.door..",
            "firstage.state..", "firstage.setup..", "firstage.life..", "firstage.net..", "firstage.benchlink..",
                    "org.xnio..")
            .should().dependOnClassesThat().resideInAnyPackage("firstage.fleet..", "firstage.lab..", "firstage.yard..",
                    "firstage.standin..", "picocli..",
                    "org.knowm..", "org.tomlj..", "org.apache.commons.math3..", "org.HdrHistogram..");
}
