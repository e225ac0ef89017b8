package cacheproxy.control;

import java.net.Socket;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * Adds a check of the validity dates of the whole chain to the JDK's trust manager. The JDK accepts a certificate that
 * is itself a trust anchor regardless of its dates.
 */
final class CertificateExpiryCheck extends X509ExtendedTrustManager {
    private final X509ExtendedTrustManager delegate;

    CertificateExpiryCheck(X509ExtendedTrustManager delegate) {
        this.delegate = delegate;
    }

    private static void checkDates(X509Certificate[] chain) throws CertificateException {
        for (X509Certificate c : chain) {
            c.checkValidity();
        }
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type) throws CertificateException {
        delegate.checkClientTrusted(chain, type);
        checkDates(chain);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type, Socket s) throws CertificateException {
        delegate.checkClientTrusted(chain, type, s);
        checkDates(chain);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine e) throws CertificateException {
        delegate.checkClientTrusted(chain, type, e);
        checkDates(chain);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type) throws CertificateException {
        delegate.checkServerTrusted(chain, type);
        checkDates(chain);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type, Socket s) throws CertificateException {
        delegate.checkServerTrusted(chain, type, s);
        checkDates(chain);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine e) throws CertificateException {
        delegate.checkServerTrusted(chain, type, e);
        checkDates(chain);
    }

    /**
     * Returns none. A list would show the trusted certificates to unauthenticated clients, and could make a client
     * withhold a certificate that is itself a trust anchor.
     */
    @Override
    public X509Certificate[] getAcceptedIssuers() {
        return new X509Certificate[0];
    }
}
