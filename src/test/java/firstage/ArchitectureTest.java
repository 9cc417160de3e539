package firstage;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.io.Serializable;

/**
 * Checks the dependencies between packages: decision logic uses no sockets, files, threads or
 * clocks, and the classes that serve requests do not depend on tools.
 */
@AnalyzeClasses(packages = "firstage", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] FREE = {
        "firstage.util",
        "firstage.policy",
        "firstage.policy.api",
        "firstage.policy.state",
        "firstage.lifecycle",
        "firstage.simulation",
        "firstage.membership",
        "firstage.overload",
        "firstage.failover",
        "firstage.cells"
    };

    @ArchTest
    final ArchRule WITHOUT_IO =
            noClasses()
                    .that()
                    .resideInAnyPackage(FREE)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.net..",
                            "java.nio..",
                            "java.util.concurrent..",
                            "java.util.logging..",
                            "org.xnio..",
                            "io.undertow..",
                            "firstage.server..",
                            "firstage.cli..",
                            "java.time..")
                    .orShould()
                    .dependOnClassesThat(
                            resideInAPackage("java.io..")
                                    // Codecs use these to write to memory, not to files.
                                    .and(not(type(IOException.class)))
                                    .and(not(type(ByteArrayOutputStream.class)))
                                    .and(not(type(OutputStream.class)))
                                    .and(not(type(Closeable.class)))
                                    .and(not(type(Serializable.class))));

    @ArchTest
    final ArchRule WITHOUT_CLOCK =
            noClasses()
                    .that()
                    .resideInAnyPackage(FREE)
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(Thread.class);

    @ArchTest
    final ArchRule SERVES_ALONE =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "firstage.util",
                            "firstage.policy",
                            "firstage.policy.api..",
                            "firstage.policy.state..",
                            "firstage.config..",
                            "firstage.lifecycle..",
                            "firstage.membership..",
                            "firstage.overload..",
                            "firstage.failover..",
                            "firstage.cells..",
                            "firstage.server..",
                            "firstage.bench..",
                            "org.xnio..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "firstage.simulation..",
                            "firstage.simulation.schedule..",
                            "firstage.faulttest..",
                            "firstage.emulator..",
                            "firstage.scale..",
                            "picocli..",
                            "org.knowm..",
                            "org.tomlj..",
                            "org.apache.commons.math3..",
                            "org.HdrHistogram..");
}
