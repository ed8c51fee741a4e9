package pipitstage;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who may use whom: what each package-info.java says, held to. */
class RoomsTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("pipitstage");
    /** The decision module and the types that it speaks in. */
    private static final String MODULE = "(\\[+L)?pipitstage\\.(Logic|Policy|State)(\\$[^;]*)?;?";
    /** The modules that decide from files: what is derived, and what contradicts what. */
    private static final String PLAN = "pipitstage\\.config\\.(plan|schema)\\..*";
    /** Whether what could not be delivered may be sent again, and when. */
    private static final String UNDELIVERABLE = "pipitstage\\.undeliverable\\.[A-Z].*";
    /** What confirms prove, what an AMQP message is to the relay, and which ids are known. */
    private static final String AMQP = "pipitstage\\.(amqp\\.(confirm|mapping)\\..*|duplicates\\.SeenIds)";
    /** How far what is remembered is believed, and what of discovery's lists is. */
    private static final String REMEMBERED = "pipitstage\\.remembered\\.[A-Z].*";
    /** Sockets, files, clocks and threads. */
    private static final DescribedPredicate<JavaClass> OUTSIDE = DescribedPredicate.or(
                    resideInAnyPackage(
                            "java.io..",
                            "java.net..",
                            "java.nio.file..",
                            "java.nio.channels..",
                            "java.time..",
                            "java.util.concurrent..",
                            "io.netty..",
                            "com.fasterxml..",
                            "sun.."),
                    nameMatching("java\\.lang\\.(System|Thread|Process|Runtime)(\\$.*)?"))
            .as("sockets, files, clocks or threads");

    private static DescribedPredicate<JavaClass> ours() {
        return resideInAnyPackage("pipitstage..");
    }

    private static ArchRule module(String pattern) {
        return noClasses().that().haveNameMatching(pattern).should().dependOnClassesThat(OUTSIDE);
    }

    @Test
    void decisionsReachNoSocketFileClockOrThread() {
        module(MODULE).check(ALL);
        module(PLAN).check(ALL);
        module(UNDELIVERABLE).check(ALL);
        module(AMQP).check(ALL);
        module(REMEMBERED).check(ALL);
        module("pipitstage\\.front\\.http2\\.limits\\..*").check(ALL);
        module("pipitstage\\.trace\\.[A-Z].*").check(ALL);
        module("pipitstage\\.lab\\.(scenario|history|model|service|experiment)\\..*")
                .check(ALL);
        classes()
                .that()
                .haveNameMatching(MODULE)
                .should()
                .onlyDependOnClassesThat(DescribedPredicate.or(nameMatching(MODULE), DescribedPredicate.not(ours())))
                .check(ALL);
    }

    /** Proves that the rule above can fail. */
    @Test
    void ruleOfDecisionsFindsOneThatReachesOut() {
        assertThrows(AssertionError.class, () -> module("pipitstage\\.SimHost").check(ALL));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "engine | pipitstage pipitstage.engine pipitstage.log",
                "front | pipitstage.front",
                "front.door | pipitstage.engine pipitstage.front.door pipitstage.log",
                "front.request | pipitstage.engine pipitstage.front.request pipitstage.http",
                "front.http | pipitstage.front pipitstage.engine pipitstage.front.http pipitstage.front.door pipitstage.front.request pipitstage.http",
                "front.http2 | pipitstage.front pipitstage.engine pipitstage.front.http2.. pipitstage.front.door "
                        + "pipitstage.front.request pipitstage.http",
                "front.http2.limits | pipitstage.front.http2.limits",
                "front.amqp | pipitstage.front pipitstage.front.amqp pipitstage.front.door pipitstage.engine pipitstage.amqp.. pipitstage.duplicates "
                        + "pipitstage.log",
                "partner.amqp | pipitstage pipitstage.engine pipitstage.partner.amqp pipitstage.amqp.codec pipitstage.amqp.link "
                        + "pipitstage.amqp.confirm pipitstage.http pipitstage.log",
                "duplicates | pipitstage.duplicates pipitstage.records pipitstage.log",
                "records | pipitstage.records",
                "partner.http | pipitstage pipitstage.engine pipitstage.partner.http pipitstage.http pipitstage.log",
                "platform | pipitstage pipitstage.engine pipitstage.platform pipitstage.http pipitstage.records pipitstage.log",
                "journal | pipitstage pipitstage.engine pipitstage.journal pipitstage.records pipitstage.log",
                "config | pipitstage pipitstage.config pipitstage.engine pipitstage.platform",
                "config.file | pipitstage.config.file",
                "config.schema | pipitstage.config.schema pipitstage.config.file",
                "config.plan | pipitstage.config.plan pipitstage.config.schema pipitstage.config.file",
                "config.tool | pipitstage pipitstage.engine pipitstage.config..",
                "relay | pipitstage pipitstage.relay pipitstage.config pipitstage.engine pipitstage.front.. pipitstage.partner.. "
                        + "pipitstage.platform pipitstage.journal pipitstage.log pipitstage.undeliverable.. pipitstage.admin "
                        + "pipitstage.amqp.. pipitstage.duplicates pipitstage.remembered..",
                "undeliverable | pipitstage pipitstage.engine pipitstage.undeliverable pipitstage.log",
                "undeliverable.store | pipitstage pipitstage.engine pipitstage.undeliverable.. pipitstage.log",
                "admin | pipitstage pipitstage.admin pipitstage.undeliverable pipitstage.engine pipitstage.log",
                "trace | pipitstage.trace",
                "trace.read | pipitstage.trace pipitstage.trace.read",
                "remembered | pipitstage pipitstage.remembered",
                "remembered.store | pipitstage pipitstage.remembered pipitstage.remembered.store pipitstage.records pipitstage.log",
                "log | pipitstage.log",
                "http | pipitstage.http",
                "amqp.codec | pipitstage.amqp.codec",
                "amqp.link | pipitstage.amqp.codec pipitstage.amqp.link",
                "amqp.confirm | pipitstage.amqp.confirm",
                "amqp.mapping | pipitstage pipitstage.engine pipitstage.amqp.codec pipitstage.amqp.mapping",
                "lab.scenario | pipitstage pipitstage.lab.scenario pipitstage.config.schema pipitstage.config.file",
                "lab.history | pipitstage.lab.history",
                "lab.model | pipitstage pipitstage.engine pipitstage.lab.model pipitstage.lab.scenario pipitstage.lab.history",
                "lab.service | pipitstage pipitstage.lab.service pipitstage.lab.scenario pipitstage.lab.history",
                "lab.experiment | pipitstage.lab.experiment pipitstage.lab.scenario",
                "lab.results | pipitstage.lab.results pipitstage.lab.scenario pipitstage.lab.history pipitstage.lab.service "
                        + "pipitstage.records",
                "lab.real | pipitstage pipitstage.lab.real pipitstage.lab.scenario pipitstage.lab.history pipitstage.lab.model "
                        + "pipitstage.lab.service pipitstage.config.tool pipitstage.config.file pipitstage.standin pipitstage.http",
                "lab | pipitstage pipitstage.lab.. pipitstage.engine pipitstage.config.file pipitstage.standin",
                "standin | pipitstage.standin pipitstage.http pipitstage.amqp.."
            })
    void packageUsesOnlyWhatItSays(String name, String allowed) {
        classes()
                .that()
                .resideInAPackage("pipitstage." + name)
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(allowed.split(" ")).or(DescribedPredicate.not(ours())))
                .check(ALL);
    }

    @Test
    void engineKnowsNeitherNettyNorHttpNorFiles() {
        noClasses()
                .that()
                .resideInAPackage("pipitstage.engine")
                .should()
                .dependOnClassesThat(DescribedPredicate.or(
                        nameMatching("java\\.lang\\.Thread.*"),
                        resideInAnyPackage(
                                "io.netty..", "com.fasterxml..", "java.nio..", "java.io..", "java.net.http..")))
                .check(ALL);
    }

    @Test
    void librariesStayInTheirRooms() {
        noClasses()
                .that()
                .resideOutsideOfPackage("pipitstage.cli")
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage("picocli..", "com.github.difflib..", "com.googlecode.lanterna.."))
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("pipitstage.undeliverable.store")
                .should()
                .dependOnClassesThat(resideInAnyPackage("org.sqlite..", "java.sql.."))
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("pipitstage.trace.read")
                .should()
                .dependOnClassesThat(resideInAnyPackage("de.siegmar.."))
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("pipitstage.lab..")
                .should()
                .dependOnClassesThat(resideInAnyPackage("org.apache.commons..", "org.HdrHistogram.."))
                .check(ALL);
        noClasses()
                .that()
                .doNotHaveSimpleName("TomlFile")
                .should()
                .dependOnClassesThat(resideInAnyPackage("org.tomlj..", "org.antlr.."))
                .check(ALL);
    }

    @Test
    void noPackagesUseEachOtherInARing() {
        slices().matching("pipitstage.(**)").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void classesOfThePartnerSideUseEachOtherOneWayOnly() {
        noClasses()
                .that()
                .haveNameMatching(".*\\.(HostConnection|HostCall|AnswerDecoder)(\\$.*)?")
                .should()
                .dependOnClassesThat(nameMatching(".*\\.HostClient(\\$.*)?"))
                .check(ALL);
        noClasses()
                .that()
                .haveNameMatching(".*\\.HostCall(\\$.*)?")
                .should()
                .dependOnClassesThat(nameMatching(".*\\.HostConnection(\\$.*)?"))
                .check(ALL);
    }

    @Test
    void everyPackageSaysWhatItIsForAndWhatItMayUse() throws IOException {
        try (var folders = Files.walk(Path.of("src/main/java/pipitstage"))) {
            List<Path> packages = folders.filter(Files::isDirectory)
                    .filter(RoomsTest::holdsClasses)
                    .toList();
            assertTrue(packages.size() > 8, "folders: " + packages);
            for (Path folder : packages) {
                assertTrue(Files.readString(folder.resolve("package-info.java")).contains("May use: "), folder + "");
            }
        }
    }

    private static boolean holdsClasses(Path folder) {
        String[] names = folder.toFile().list((parent, name) -> name.endsWith(".java"));
        return names != null && names.length > 0;
    }
}
