package ryemast.tools;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.SecureRandom;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import org.bouncycastle.asn1.pkcs.PrivateKeyInfo;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x500.X500NameBuilder;
import org.bouncycastle.asn1.x500.style.BCStyle;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.ExtendedKeyUsage;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.cert.CertIOException;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509ExtensionUtils;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.PEMParser;
import org.bouncycastle.openssl.jcajce.JcaPEMKeyConverter;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * A folder of keys: an authority, a dispatcher's own key, submitters' keys, and the list of those revoked.
 * Certificates follow RFC 5280 (X.509 v3, P-256 keys, one purpose each), so that a submitter's key can't
 * pass for a dispatcher's.
 */
public final class Authority {

    /** Clocks of two machines may differ by some minutes. */
    private static final Duration BEFORE = Duration.ofMinutes(10);
    private static final String SIGNED = "SHA256withECDSA";
    private static final int SERIAL_BITS = 96;

    /** A certificate that was issued, as the folder's list has it. */
    public record Issued(String serial, String kind, String name, String account, Instant until,
            String revoked) {
    }

    private final Path folder;

    /** {@code folder}: need not be there. */
    public Authority(Path folder) {
        this.folder = folder;
    }

    private Path file(String name) {
        return folder.resolve(name);
    }

    /** A new authority. {@code renew}: beside the old one, whose certificates stay good until they expire. */
    public X509Certificate make(Duration good, boolean renew) throws IOException {
        KeyFiles.folder(folder);
        var old = renew && Files.exists(file("authority.crt")) ? certificates(file("authority.crt"))
                : List.<X509Certificate>of();
        if (!renew && Files.exists(file("authority.key"))) {
            throw new IOException(file("authority.key")
                    + " is there already; --renew makes a new one beside it");
        }
        var keys = keys();
        var name = new X500NameBuilder(BCStyle.INSTANCE).addRDN(BCStyle.CN, "ryemast authority "
                + Long.toHexString(new SecureRandom().nextLong())).build();
        var made = issue(name, keys.getPublic(), name, keys.getPrivate(), keys.getPublic(), good, builder -> {
            builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(0));
            builder.addExtension(Extension.keyUsage, true,
                    new KeyUsage(KeyUsage.keyCertSign | KeyUsage.cRLSign));
        });
        var all = new ArrayList<X509Certificate>(List.of(made));
        old.stream().filter(each -> each.getNotAfter().after(new Date())).forEach(all::add);
        KeyFiles.write(file("authority.key"), KeyFiles.pem(keys.getPrivate()), true);
        KeyFiles.write(file("authority.crt"), KeyFiles.pem(all), true);
        note(made, "authority", "-", "-");
        return made;
    }

    /** The dispatcher's own; {@code names}: host names and IP addresses that submitters reach it by. */
    public X509Certificate server(List<String> names, Duration good, boolean renew) throws IOException {
        var keys = keys();
        var subject = new X500NameBuilder(BCStyle.INSTANCE).addRDN(BCStyle.CN, names.get(0)).build();
        var alternatives = names.stream().map(each -> new GeneralName(
                each.matches("[0-9.]+|.*:.*") ? GeneralName.iPAddress : GeneralName.dNSName, each))
                .toArray(GeneralName[]::new);
        var made = signed(subject, keys.getPublic(), good, builder -> {
            builder.addExtension(Extension.extendedKeyUsage, false,
                    new ExtendedKeyUsage(KeyPurposeId.id_kp_serverAuth));
            builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(alternatives));
        });
        KeyFiles.write(file("server.key"), KeyFiles.pem(keys.getPrivate()), renew);
        KeyFiles.write(file("server.crt"), KeyFiles.pem(made), renew);
        note(made, "server", names.get(0), "-");
        return made;
    }

    /** A submitter's folder, to be handed over to it. */
    public Path submitter(String name, String account, Duration good, boolean renew) throws IOException {
        if (!name.matches("[A-Za-z0-9._-]{1,64}") || name.startsWith(".")) {
            throw new IOException("submitter " + name + ": must be 1 to 64 letters, digits, ., _ or -");
        }
        var own = file("submitters").resolve(name);
        var keys = keys();
        var subject = new X500NameBuilder(BCStyle.INSTANCE).addRDN(BCStyle.O, account)
                .addRDN(BCStyle.CN, name).build();
        var made = signed(subject, keys.getPublic(), good, builder -> builder.addExtension(
                Extension.extendedKeyUsage, false, new ExtendedKeyUsage(KeyPurposeId.id_kp_clientAuth)));
        KeyFiles.folder(file("submitters"));
        KeyFiles.folder(own);
        KeyFiles.write(own.resolve("submitter.key"), KeyFiles.pem(keys.getPrivate()), renew);
        KeyFiles.write(own.resolve("submitter.crt"), KeyFiles.pem(made), renew);
        KeyFiles.write(own.resolve("authority.crt"), KeyFiles.pem(certificates(file("authority.crt"))), true);
        note(made, "submitter", name, account);
        return own;
    }

    /**
     * {@code what}: a submitter's name, all of whose keys are meant, or a serial number. How many were
     * revoked.
     */
    public int revoke(String what, String reason) throws IOException {
        var lines = KeyFiles.lines(file("revoked"));
        int count = 0;
        for (var each : issued()) {
            boolean meant = each.kind.equals("submitter") && each.name.equals(what)
                    || each.serial.equalsIgnoreCase(what);
            if (meant && each.revoked == null) {
                lines.add((each.serial + " " + each.name + " " + reason).strip());
                count++;
            }
        }
        if (count > 0) {
            KeyFiles.write(file("revoked"), String.join("\n", lines) + "\n", true);
        }
        return count;
    }

    /** All that was issued here, the first one first. */
    public List<Issued> issued() throws IOException {
        var revoked = new java.util.HashMap<String, String>();
        for (var line : KeyFiles.lines(file("revoked"))) {
            var parts = line.strip().split("\\s+", 2);
            if (!parts[0].isEmpty() && !parts[0].startsWith("#")) {
                revoked.put(parts[0].toLowerCase(java.util.Locale.ROOT), parts.length > 1 ? parts[1] : "");
            }
        }
        var found = new ArrayList<Issued>();
        for (var line : KeyFiles.lines(file("issued"))) {
            var parts = line.split("\t");
            if (parts.length == 5) {
                found.add(new Issued(parts[0], parts[1], parts[2], parts[3], Instant.parse(parts[4]),
                        revoked.get(parts[0])));
            }
        }
        return found;
    }

    private void note(X509Certificate made, String kind, String name, String account) throws IOException {
        var lines = KeyFiles.lines(file("issued"));
        lines.add(String.join("\t", made.getSerialNumber().toString(16), kind, name, account,
                made.getNotAfter().toInstant().toString()));
        KeyFiles.write(file("issued"), String.join("\n", lines) + "\n", true);
    }

    private static KeyPair keys() throws IOException {
        try {
            var generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(new ECGenParameterSpec("secp256r1"), new SecureRandom());
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IOException("this Java can't make keys: " + e.getMessage(), e);
        }
    }

    private interface Extensions {
        void add(JcaX509v3CertificateBuilder to) throws CertIOException;
    }

    private X509Certificate signed(X500Name subject, PublicKey key, Duration good, Extensions extensions)
            throws IOException {
        if (!Files.exists(file("authority.key"))) {
            throw new IOException(file("authority.key") + " is not there; 'ryemast keys authority' makes it");
        }
        var authority = certificates(file("authority.crt")).get(0);
        var signing = privateKey(file("authority.key"));
        var issuer = X500Name.getInstance(authority.getSubjectX500Principal().getEncoded());
        var until = Duration.between(Instant.now(), authority.getNotAfter().toInstant());
        return issue(subject, key, issuer, signing, authority.getPublicKey(),
                good.compareTo(until) < 0 ? good : until, builder -> {
                    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(false));
                    builder.addExtension(Extension.keyUsage, true, new KeyUsage(KeyUsage.digitalSignature));
                    extensions.add(builder);
                });
    }

    private static X509Certificate issue(X500Name subject, PublicKey key, X500Name issuer, PrivateKey signing,
            PublicKey issuing, Duration good, Extensions extensions) throws IOException {
        try {
            var now = Instant.now();
            var serial = new BigInteger(SERIAL_BITS, new SecureRandom()).setBit(SERIAL_BITS - 1);
            var builder = new JcaX509v3CertificateBuilder(issuer, serial, Date.from(now.minus(BEFORE)),
                    Date.from(now.plus(good)), subject, key);
            var tools = new JcaX509ExtensionUtils();
            builder.addExtension(Extension.subjectKeyIdentifier, false,
                    tools.createSubjectKeyIdentifier(key));
            builder.addExtension(Extension.authorityKeyIdentifier, false,
                    tools.createAuthorityKeyIdentifier(issuing));
            extensions.add(builder);
            return new JcaX509CertificateConverter().getCertificate(
                    builder.build(new JcaContentSignerBuilder(SIGNED).build(signing)));
        } catch (GeneralSecurityException | OperatorCreationException e) {
            throw new IOException("the certificate can't be made: " + e.getMessage(), e);
        }
    }

    private static List<X509Certificate> certificates(Path file) throws IOException {
        try (var in = Files.newInputStream(file)) {
            var found = new ArrayList<X509Certificate>();
            for (var each : CertificateFactory.getInstance("X.509").generateCertificates(in)) {
                found.add((X509Certificate) each);
            }
            if (found.isEmpty()) {
                throw new IOException(file + ": holds no certificate");
            }
            return found;
        } catch (GeneralSecurityException e) {
            throw new IOException(file + ": holds no certificate that can be read: " + e.getMessage(), e);
        }
    }

    private static PrivateKey privateKey(Path file) throws IOException {
        try (var in = new PEMParser(Files.newBufferedReader(file))) {
            if (in.readObject() instanceof PrivateKeyInfo info) {
                return new JcaPEMKeyConverter().getPrivateKey(info);
            }
            throw new IOException(file + ": holds no private key (PKCS #8, PEM)");
        }
    }
}
