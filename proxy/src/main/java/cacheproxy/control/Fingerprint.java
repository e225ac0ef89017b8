package cacheproxy.control;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Hashes that agents and instances compare: of configurations, and as a proof that both know a secret. */
public final class Fingerprint {
    private static final int FINGERPRINT_BYTES = 8;

    private Fingerprint() {}

    /** The first 8 bytes of the text's SHA-256, in hexadecimal. */
    public static String of(String text) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, FINGERPRINT_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // both algorithms are mandatory in Java
        }
    }

    /** HMAC-SHA256 of the name and nonce, in hexadecimal: proves knowledge of the secret for these two only. */
    public static String hmac(String secret, String name, String nonce) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
            byte[] message = (name + "\n" + nonce).getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(mac.doFinal(message));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // both algorithms are mandatory in Java
        }
    }
}
