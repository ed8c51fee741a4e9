package loftflow;

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

/** Checks the dependencies that each package-info.java declares, and the layers of the relay. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("loftflow");
    /** The decision module and the types of its interface. */
    private static final String DECISION_MODULE = "(\\[+L)?loftflow\\.policy\\.(api\\.)?[A-Z][^;]*;?";
    /** The modules that derive settings from files and find contradictions in them. */
    private static final String PLANNING = "loftflow\\.config\\.(plan|schema)\\..*";
    /** The rules that decide whether and when dead letters may be redriven. */
    private static final String DEAD_LETTERS = "loftflow\\.deadletter\\.[A-Z].*";
    /** The meaning of publisher confirms, the mapping of AMQP messages, and the deduplication window. */
    private static final String AMQP = "loftflow\\.(amqp\\.(confirm|mapping)\\..*|deduplication\\.DeduplicationWindow)";
    /** The rules for the trust in restored state and in discovery lists. */
    private static final String WARM_START = "loftflow\\.warmstart\\.[A-Z].*";
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

    private static DescribedPredicate<JavaClass> relayClasses() {
        return resideInAnyPackage("loftflow..");
    }

    private static ArchRule noOutsideDependencies(String pattern) {
        return noClasses().that().haveNameMatching(pattern).should().dependOnClassesThat(OUTSIDE);
    }

    @Test
    void pureModulesUseNoSocketFileClockOrThread() {
        noOutsideDependencies(DECISION_MODULE).check(ALL);
        noOutsideDependencies(PLANNING).check(ALL);
        noOutsideDependencies(DEAD_LETTERS).check(ALL);
        noOutsideDependencies(AMQP).check(ALL);
        noOutsideDependencies(WARM_START).check(ALL);
        noOutsideDependencies("loftflow\\.listener\\.http2\\.flowcontrol\\..*").check(ALL);
        noOutsideDependencies("loftflow\\.trace\\.[A-Z].*").check(ALL);
        noOutsideDependencies("loftflow\\.experiment\\.(scenario|history|emulator|evaluation|design)\\..*")
                .check(ALL);
        classes()
                .that()
                .haveNameMatching(DECISION_MODULE)
                .should()
                .onlyDependOnClassesThat(
                        DescribedPredicate.or(nameMatching(DECISION_MODULE), DescribedPredicate.not(relayClasses())))
                .check(ALL);
    }

    /** Verifies that the rule above detects a violation. */
    @Test
    void ruleForPureModulesDetectsAViolation() {
        assertThrows(AssertionError.class, () -> noOutsideDependencies("loftflow\\.simulator\\.SimulatorHost")
                .check(ALL));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "protocol | loftflow.protocol",
                "engine | loftflow.policy.api loftflow.engine loftflow.log loftflow.memory loftflow.protocol",
                "listener | loftflow.listener",
                "listener.connection | loftflow.engine loftflow.listener.connection loftflow.log",
                "listener.request | loftflow.protocol loftflow.engine loftflow.listener.request",
                "listener.http | loftflow.protocol loftflow.listener loftflow.engine loftflow.listener.http loftflow.listener.connection loftflow.listener.request loftflow.http "
                        + "loftflow.memory loftflow.log",
                "listener.http2 | loftflow.protocol loftflow.listener loftflow.engine loftflow.listener.http2.. loftflow.listener.connection "
                        + "loftflow.listener.request loftflow.http",
                "listener.http2.flowcontrol | loftflow.listener.http2.flowcontrol",
                "listener.amqp | loftflow.protocol loftflow.listener loftflow.listener.amqp loftflow.listener.connection loftflow.engine loftflow.amqp.. loftflow.deduplication "
                        + "loftflow.log",
                "upstream.amqp | loftflow.protocol loftflow.policy.api loftflow.engine loftflow.upstream.amqp loftflow.amqp.codec loftflow.amqp.link "
                        + "loftflow.amqp.confirm loftflow.log",
                "deduplication | loftflow.deduplication loftflow.recordfile loftflow.log",
                "recordfile | loftflow.recordfile",
                "upstream.http | loftflow.protocol loftflow.policy.api loftflow.json loftflow.engine loftflow.upstream.http loftflow.http "
                        + "loftflow.memory loftflow.log",
                "discovery | loftflow.protocol loftflow.policy.api loftflow.engine loftflow.discovery loftflow.http loftflow.json loftflow.log",
                "completion | loftflow.protocol loftflow.engine loftflow.completion loftflow.discovery loftflow.recordfile loftflow.log",
                "json | loftflow.json",
                "memory | loftflow.memory",
                "policy | loftflow.policy loftflow.policy.api",
                "policy.api | loftflow.policy.api",
                "simulator | loftflow.policy loftflow.policy.api loftflow.json loftflow.settings loftflow.simulator",
                "settings | loftflow.protocol loftflow.policy.api loftflow.json loftflow.settings",
                "journal | loftflow.policy.api loftflow.engine loftflow.journal loftflow.recordfile loftflow.log",
                "config | loftflow.protocol loftflow.policy.api loftflow.config loftflow.engine loftflow.discovery loftflow.json loftflow.settings",
                "config.file | loftflow.config.file",
                "config.schema | loftflow.config.schema loftflow.config.file",
                "config.plan | loftflow.config.plan loftflow.config.schema loftflow.config.file",
                "config.tool | loftflow.protocol loftflow.policy.api loftflow.engine loftflow.json loftflow.config..",
                "server | loftflow.policy loftflow.policy.api loftflow.server loftflow.config loftflow.engine loftflow.listener.. loftflow.upstream.. "
                        + "loftflow.discovery loftflow.completion loftflow.journal loftflow.log loftflow.deadletter.. loftflow.admin "
                        + "loftflow.amqp.. loftflow.deduplication loftflow.warmstart.. loftflow.clock loftflow.membership loftflow.memory",
                "membership | loftflow.policy.api loftflow.membership loftflow.engine loftflow.recordfile loftflow.log",
                "deadletter | loftflow.policy.api loftflow.engine loftflow.deadletter loftflow.log",
                "deadletter.store | loftflow.policy.api loftflow.engine loftflow.deadletter.. loftflow.log",
                "admin | loftflow.policy.api loftflow.admin loftflow.deadletter loftflow.engine loftflow.log",
                "trace | loftflow.trace",
                "trace.read | loftflow.trace loftflow.trace.read",
                "clock | loftflow.clock loftflow.recordfile loftflow.log",
                "warmstart | loftflow.policy.api loftflow.warmstart loftflow.clock",
                "warmstart.store | loftflow.policy.api loftflow.warmstart loftflow.warmstart.store loftflow.clock loftflow.recordfile loftflow.log",
                "log | loftflow.log",
                "http | loftflow.http",
                "amqp.codec | loftflow.amqp.codec",
                "amqp.link | loftflow.amqp.codec loftflow.amqp.link",
                "amqp.confirm | loftflow.amqp.confirm",
                "amqp.mapping | loftflow.policy.api loftflow.engine loftflow.amqp.codec loftflow.amqp.mapping",
                "experiment.scenario | loftflow.policy.api loftflow.experiment.scenario loftflow.config.schema loftflow.config.file",
                "experiment.history | loftflow.experiment.history",
                "experiment.emulator | loftflow.policy.api loftflow.engine loftflow.experiment.emulator loftflow.experiment.scenario loftflow.experiment.history",
                "experiment.evaluation | loftflow.policy.api loftflow.experiment.evaluation loftflow.experiment.scenario loftflow.experiment.history",
                "experiment.design | loftflow.experiment.design loftflow.experiment.scenario",
                "experiment.results | loftflow.experiment.results loftflow.experiment.scenario loftflow.experiment.history loftflow.experiment.evaluation "
                        + "loftflow.recordfile",
                "experiment.loopback | loftflow.protocol loftflow.policy.api loftflow.experiment.loopback loftflow.experiment.scenario loftflow.experiment.history loftflow.experiment.emulator "
                        + "loftflow.experiment.evaluation loftflow.config.tool loftflow.config.file loftflow.fake",
                "experiment | loftflow.policy loftflow.policy.api loftflow.experiment.. loftflow.engine loftflow.config.file loftflow.fake",
                "fake | loftflow.protocol loftflow.fake loftflow.amqp.."
            })
    void packageUsesOnlyDeclaredPackages(String name, String allowed) {
        classes()
                .that()
                .resideInAPackage("loftflow." + name)
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage(allowed.split(" ")).or(DescribedPredicate.not(relayClasses())))
                .check(ALL);
    }

    @Test
    void engineUsesNeitherNettyNorHttpNorFiles() {
        noClasses()
                .that()
                .resideInAPackage("loftflow.engine")
                .should()
                .dependOnClassesThat(DescribedPredicate.or(
                        nameMatching("java\\.lang\\.Thread.*"),
                        resideInAnyPackage(
                                "io.netty..", "com.fasterxml..", "java.nio..", "java.io..", "java.net.http..")))
                .check(ALL);
    }

    @Test
    void librariesAreUsedInTheirPackagesOnly() {
        noClasses()
                .that()
                .resideOutsideOfPackage("loftflow.cli")
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage("picocli..", "com.github.difflib..", "com.googlecode.lanterna.."))
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("loftflow.deadletter.store")
                .should()
                .dependOnClassesThat(resideInAnyPackage("org.sqlite..", "java.sql.."))
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("loftflow.trace.read")
                .should()
                .dependOnClassesThat(resideInAnyPackage("de.siegmar.."))
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackage("loftflow.experiment..")
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
    void packagesHaveNoCyclicDependencies() {
        slices().matching("loftflow.(**)").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void upstreamClassesDependInOneDirectionOnly() {
        noClasses()
                .that()
                .haveNameMatching(".*\\.(UpstreamConnection|UpstreamCall|ResponseDecoder)(\\$.*)?")
                .should()
                .dependOnClassesThat(
                        nameMatching(".*\\.(HttpUpstreamClient|HostConnectionPool|ConnectionRegistry)(\\$.*)?"))
                .check(ALL);
        noClasses()
                .that()
                .haveNameMatching(".*\\.UpstreamCall(\\$.*)?")
                .should()
                .dependOnClassesThat(nameMatching(".*\\.UpstreamConnection(\\$.*)?"))
                .check(ALL);
    }

    @Test
    void everyPackageDeclaresWhatItMayUse() throws IOException {
        try (var folders = Files.walk(Path.of("src/main/java/loftflow"))) {
            List<Path> packages = folders.filter(Files::isDirectory)
                    .filter(ArchitectureTest::containsClasses)
                    .toList();
            assertTrue(packages.size() > 8, "folders: " + packages);
            for (Path folder : packages) {
                assertTrue(Files.readString(folder.resolve("package-info.java")).contains("May use: "), folder + "");
            }
        }
    }

    private static boolean containsClasses(Path folder) {
        String[] names = folder.toFile().list((parent, name) -> name.endsWith(".java"));
        return names != null && names.length > 0;
    }
}
