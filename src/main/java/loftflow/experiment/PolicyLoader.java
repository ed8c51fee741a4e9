package loftflow.experiment;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.function.Function;
import java.util.stream.Stream;
import loftflow.policy.DefaultDeliveryPolicy;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.PolicySettings;

/** The decision module of another build of this program, to be played beside this one's. */
final class PolicyLoader {
    private static final String PACKAGE = "loftflow";

    private PolicyLoader() {}

    /** Finds the module's own classes in the other build first; what it speaks in is this one's. */
    private static final class Loader extends URLClassLoader {
        Loader(URL from) {
            super(new URL[] {from}, DefaultDeliveryPolicy.class.getClassLoader());
        }

        private static boolean isOfTheModule(String name) {
            return name.matches("loftflow\\.policy\\.[A-Z].*");
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!isOfTheModule(name)) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded == null ? findClass(name) : loaded;
            }
        }
    }

    /**
     * The module in a jar or a folder of classes.
     *
     * @throws IOException where there is none, or it is none for this program
     */
    static Function<PolicySettings, DeliveryPolicy> at(Path build) throws IOException {
        if (!Files.exists(build)) {
            throw new IOException(build + ": does not exist");
        }
        Loader loader = new Loader(build.toUri().toURL());
        try {
            Constructor<?> made =
                    loader.loadClass(DefaultDeliveryPolicy.class.getName()).getConstructor(PolicySettings.class);
            return settings -> {
                try {
                    return (DeliveryPolicy) made.newInstance(settings);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(build + ": its module can't be made: " + e.getCause(), e);
                }
            };
        } catch (ReflectiveOperationException | LinkageError e) {
            throw new IOException(build + ": holds no decision module for this program", e);
        }
    }

    /** Where this program's own classes are. */
    static Path own() {
        try {
            return Path.of(DefaultDeliveryPolicy.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException("the place of the program's own classes can't be read", e);
        }
    }

    /** Takes the code of every class of a build into a digest: whichever of them has changed, it is another program. */
    static void digest(Path build, MessageDigest digest) throws IOException {
        if (Files.isDirectory(build)) {
            digestFolder(build.resolve(PACKAGE), digest);
        } else {
            try (FileSystem jar = FileSystems.newFileSystem(build)) {
                digestFolder(jar.getPath(PACKAGE), digest);
            }
        }
    }

    private static void digestFolder(Path folder, MessageDigest digest) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path code :
                    all.filter(f -> f.toString().endsWith(".class")).sorted().toList()) {
                digest.update(Files.readAllBytes(code));
            }
        }
    }
}
