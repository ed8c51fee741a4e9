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

/** Loads the decision module of another build of this program, to compare it with this one's. */
final class PolicyLoader {
    private static final String ROOT_PACKAGE = "loftflow";

    private PolicyLoader() {}

    /** Loads the classes of the decision module from the other build, and those of its interface from this program. */
    private static final class PolicyClassLoader extends URLClassLoader {
        PolicyClassLoader(URL build) {
            super(new URL[] {build}, DefaultDeliveryPolicy.class.getClassLoader());
        }

        private static boolean isPolicyClass(String name) {
            return name.matches("loftflow\\.policy\\.[A-Z].*");
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!isPolicyClass(name)) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded == null ? findClass(name) : loaded;
            }
        }
    }

    /**
     * The decision module in a jar or a folder of classes.
     *
     * @throws IOException if there is none, or it does not fit this program's interface
     */
    static Function<PolicySettings, DeliveryPolicy> at(Path build) throws IOException {
        if (!Files.exists(build)) {
            throw new IOException(build + ": does not exist");
        }
        PolicyClassLoader loader = new PolicyClassLoader(build.toUri().toURL());
        try {
            Constructor<?> constructor =
                    loader.loadClass(DefaultDeliveryPolicy.class.getName()).getConstructor(PolicySettings.class);
            return settings -> {
                try {
                    return (DeliveryPolicy) constructor.newInstance(settings);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(build + ": its module can't be made: " + e.getCause(), e);
                }
            };
        } catch (ReflectiveOperationException | LinkageError e) {
            throw new IOException(build + ": holds no decision module for this program", e);
        }
    }

    /** The jar or folder of this program's own classes. */
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

    /** Adds the code of every class of a build to a digest, so that a change of any class changes the digest. */
    static void digest(Path build, MessageDigest digest) throws IOException {
        if (Files.isDirectory(build)) {
            digestFolder(build.resolve(ROOT_PACKAGE), digest);
        } else {
            try (FileSystem jar = FileSystems.newFileSystem(build)) {
                digestFolder(jar.getPath(ROOT_PACKAGE), digest);
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
