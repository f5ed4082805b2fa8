package ryemast.consul;

import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManagerFactory;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.ssl.SslFilter;
import org.apache.mina.transport.socket.nio.SocketConnector;

/**
 * TLS towards agents: only such certificates are believed that an authority of the operator's has signed, and
 * that are for the agent's address, or for the name that the operator gives in its place.
 */
final class TlsFilter {

    private TlsFilter() {
    }

    /** An {@link IOException} names the file that can't be used. */
    static void add(SocketConnector connector, ConsulSettings.Tls tls) throws IOException {
        var filter = new SslFilter(context(tls.authority())) {
            @Override
            protected SSLEngine createEngine(IoSession session, InetSocketAddress address) {
                return super.createEngine(session, tls.name() == null ? address
                        : InetSocketAddress.createUnresolved(tls.name(), address.getPort()));
            }
        };
        filter.setEnabledProtocols("TLSv1.3", "TLSv1.2");
        filter.setEndpointIdentificationAlgorithm("HTTPS");
        connector.getFilterChain().addFirst("tls", filter);
    }

    private static SSLContext context(String authority) throws IOException {
        try (var in = new FileInputStream(authority)) {
            var store = KeyStore.getInstance(KeyStore.getDefaultType());
            store.load(null, null);
            int number = 0;
            for (var certificate : CertificateFactory.getInstance("X.509").generateCertificates(in)) {
                store.setCertificateEntry("authority-" + number++, certificate);
            }
            if (number == 0) {
                throw new IOException(authority + ": holds no certificate");
            }
            var trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trust.init(store);
            var context = SSLContext.getInstance("TLS");
            context.init(null, trust.getTrustManagers(), null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new IOException(authority + ": " + e.getMessage(), e);
        }
    }
}
