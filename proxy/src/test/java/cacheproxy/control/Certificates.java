package cacheproxy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;

/** Keys and certificates that the JDK's keytool generates in a folder, and their PEM form. */
public final class Certificates {
    private static final String STORE_PASSWORD = "for the tests";

    private final Path folder;
    private final KeyStore store;
    private final AtomicInteger certificateRequests = new AtomicInteger();

    /**
     * Creates the CAs {@code ca} and {@code other}; {@code agent} (for 127.0.0.1), {@code elsewhere} (for 127.0.0.2),
     * {@code client} and {@code expired}, signed by {@code ca}; {@code stranger}, signed by {@code other}; and
     * {@code past}, self-signed and expired.
     */
    public Certificates(Path folder) throws Exception {
        this.folder = folder;
        generate("ca", null, "-ext", "bc:c");
        generate("other", null, "-ext", "bc:c");
        generate("agent", "ca", "-ext", "san=ip:127.0.0.1");
        generate("elsewhere", "ca", "-ext", "san=ip:127.0.0.2");
        generate("client", "ca");
        generate("stranger", "other");
        generate("expired", "ca", "-startdate", "-10d", "-validity", "5");
        generate("past", null, "-startdate", "-10d", "-validity", "5");
        store = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(folder.resolve("store"))) {
            store.load(in, STORE_PASSWORD.toCharArray());
        }
    }

    private void generate(String name, String signer, String... extraArguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                "-J-XX:TieredStopAtLevel=1",
                "-genkeypair",
                "-alias",
                name,
                "-dname",
                "CN=" + name,
                "-keyalg",
                "EC",
                "-groupname",
                "secp256r1",
                "-keystore",
                folder.resolve("store").toString(),
                "-storepass",
                STORE_PASSWORD,
                "-storetype",
                "PKCS12"));
        if (signer != null) {
            command.addAll(List.of("-signer", signer));
        }
        command.addAll(List.of(extraArguments));
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, p.waitFor(), output);
    }

    private static String pem(String kind, byte[] der) {
        return "-----BEGIN " + kind + "-----\n"
                + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der)
                + "\n-----END " + kind + "-----\n";
    }

    /** The certificate alone, without its signer's. */
    public String certificate(String name) throws GeneralSecurityException {
        return pem("CERTIFICATE", store.getCertificate(name).getEncoded());
    }

    public String key(String name) throws GeneralSecurityException {
        return pem(
                "PRIVATE KEY", store.getKey(name, STORE_PASSWORD.toCharArray()).getEncoded());
    }

    /** Writes a file that only its owner can access. */
    public static Path file(Path file, String text) throws IOException {
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        return Files.writeString(file, text);
    }

    /** The files of an agent, without remote.json. */
    public void agent(Path to, String name, String... clients) throws Exception {
        file(to.resolve("agent.pem"), certificate(name));
        file(to.resolve("agent.key"), key(name));
        StringBuilder all = new StringBuilder();
        for (String client : clients) {
            all.append(certificate(client));
        }
        file(to.resolve("clients.pem"), all.toString());
    }

    /** Writes a credentials folder for the tool; no token if {@code token} is null. */
    public Path asking(Path to, String name, String trusted, String token) throws Exception {
        Files.createDirectories(to);
        file(to.resolve("client.pem"), certificate(name));
        file(to.resolve("client.key"), key(name));
        file(to.resolve("agents.pem"), certificate(trusted));
        if (token != null) {
            file(to.resolve("token"), token + "\n");
        }
        return to;
    }

    /**
     * A client context that always presents this certificate, whichever issuers the server accepts, as an attacker's
     * would; null for no certificate.
     */
    public SSLContext context(String name) throws Exception {
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("ca", store.getCertificate("ca"));
        TrustManagerFactory trust = TrustManagerFactory.getInstance("PKIX");
        trust.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        KeyManager[] keyManagers = name == null ? null : new KeyManager[] {new FixedAliasKeyManager(name)};
        context.init(keyManagers, trust.getTrustManagers(), null);
        return context;
    }

    /** How often servers requested a certificate in handshakes of these contexts. */
    int certificateRequests() {
        return certificateRequests.get();
    }

    private final class FixedAliasKeyManager extends X509ExtendedKeyManager {
        private final String name;

        FixedAliasKeyManager(String name) {
            this.name = name;
        }

        @Override
        public String[] getClientAliases(String type, Principal[] issuers) {
            return new String[] {name};
        }

        @Override
        public String chooseClientAlias(String[] types, Principal[] issuers, Socket socket) {
            certificateRequests.incrementAndGet();
            return name;
        }

        @Override
        public String[] getServerAliases(String type, Principal[] issuers) {
            return new String[] {name};
        }

        @Override
        public String chooseServerAlias(String type, Principal[] issuers, Socket socket) {
            return name;
        }

        @Override
        public X509Certificate[] getCertificateChain(String alias) {
            try {
                Certificate[] chain = store.getCertificateChain(alias);
                X509Certificate[] all = new X509Certificate[chain.length];
                System.arraycopy(chain, 0, all, 0, all.length);
                return all;
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public PrivateKey getPrivateKey(String alias) {
            try {
                return (PrivateKey) store.getKey(alias, STORE_PASSWORD.toCharArray());
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
