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

/** What decides knows no socket, file, thread or clock; what serves loads no tool. */
@AnalyzeClasses(packages = "firstage", importOptions = ImportOption.DoNotIncludeTests.class)
class ArrowsTest {
    private static final String[] FREE = {
        "firstage",
        "firstage.door",
        "firstage.state",
        "firstage.life",
        "firstage.fleet",
        "firstage.members",
        "firstage.overload",
        "firstage.evacuation",
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
                            "firstage.net..",
                            "firstage.app..",
                            "java.time..")
                    .orShould()
                    .dependOnClassesThat(
                            resideInAPackage("java.io..")
                                    // A codec's bytes in memory are no file.
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
                            "firstage",
                            "firstage.door..",
                            "firstage.state..",
                            "firstage.setup..",
                            "firstage.life..",
                            "firstage.members..",
                            "firstage.overload..",
                            "firstage.evacuation..",
                            "firstage.cells..",
                            "firstage.net..",
                            "firstage.benchlink..",
                            "org.xnio..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "firstage.fleet..",
                            "firstage.lab..",
                            "firstage.yard..",
                            "firstage.standin..",
                            "firstage.scale..",
                            "picocli..",
                            "org.knowm..",
                            "org.tomlj..",
                            "org.apache.commons.math3..",
                            "org.HdrHistogram..");
}
